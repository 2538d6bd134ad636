import { expect } from "earl";
import { describe, it } from "node:test";
import { checks } from "./checks.ts";
import { type CallKind, SoakHistory } from "./history.ts";

const END_MS = 20_000;

// Guards against checks that would pass a process that ignores limits, or that
// sends prompts on that crash replicas.
describe("checks of histories", () => {
  it("limit-bound detects more requests than the limit and its slack", () => {
    expect(findLimitViolations({ perSecond: 1, intervalMs: 1_000 })).toEqual(0);
    expect(findLimitViolations({ perSecond: 1, intervalMs: 300 })).toEqual(1);
  });

  it("limit-bound excuses processes after a fault", () => {
    const history = createLimitHistory({ perSecond: 1, intervalMs: 300 });
    history.beginFault({ kind: "process", name: "front-0" }, "pause");
    history.injectedFaults[0]!.toMs = END_MS;
    Object.assign(history.injectedFaults[0]!, { fromMs: 0 });
    expect(find("limit-bound", history)).toEqual(0);
  });

  it("poison-bound detects more than three prompts after five crashes", () => {
    expect(find("poison-bound", createPoisonHistory(3))).toEqual(0);
    expect(find("poison-bound", createPoisonHistory(4))).toEqual(1);
  });

  it("poison-bound detects more than three requests after three crashes", () => {
    const request = { kind: "safe", crashes: 3 } as const;
    expect(find("poison-bound", createPoisonHistory(3, request))).toEqual(0);
    expect(find("poison-bound", createPoisonHistory(4, request))).toEqual(1);
  });
});

function find(name: string, history: SoakHistory): number {
  return checks.find((check) => check.name === name)!.find(history).length;
}

function findLimitViolations(
  options: { readonly perSecond: number; readonly intervalMs: number },
): number {
  return find("limit-bound", createLimitHistory(options));
}

function createLimitHistory(
  { perSecond, intervalMs }: {
    readonly perSecond: number;
    readonly intervalMs: number;
  },
): SoakHistory {
  const history = new SoakHistory();
  history.beginLimit("model-0", perSecond);
  Object.assign(history.limitPeriods[0]!, { fromMs: 0, toMs: END_MS });
  for (let atMs = 0; atMs < END_MS; atMs += intervalMs) {
    addCall(history, { callId: `call-${atMs}`, atMs });
  }
  return history;
}

/** Some crashes in the first seconds, and some requests long after. */
function createPoisonHistory(
  lateCalls: number,
  { kind, crashes }: {
    readonly kind: CallKind;
    readonly crashes: number;
  } = { kind: "stream", crashes: 5 },
): SoakHistory {
  const history = new SoakHistory();
  const deadly = { kind, deadlyPart: "deadly" };
  for (let crash = 0; crash < crashes; crash++) {
    const atMs = crash * 200;
    addCall(history, { ...deadly, callId: `crash-${crash}`, atMs });
  }
  for (let index = 0; index < lateCalls; index++) {
    const atMs = 10_000 + index * 500;
    addCall(history, { ...deadly, callId: `late-${index}`, atMs });
  }
  return history;
}

function addCall(
  history: SoakHistory,
  { kind = "stream", callId, atMs, deadlyPart }: {
    readonly kind?: CallKind;
    readonly callId: string;
    readonly atMs: number;
    readonly deadlyPart?: string;
  },
): void {
  history.calls.push({
    process: "front-0",
    kind,
    callId,
    key: "key",
    sentAtMs: atMs,
    expected: "",
    ...(deadlyPart === undefined ? {} : { deadlyPart }),
  });
  history.arrivals.push({
    atMs,
    callId,
    instanceId: "model-0",
    zone: "zone-a",
    hasRun: true,
    isMisdirected: false,
  });
}
