import { expect } from "earl";
import { describe, it } from "node:test";
import { checks } from "./checks.ts";
import { SoakHistory } from "./history.ts";

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

/** Five crashes in the first seconds, and some prompts long after. */
function createPoisonHistory(lateCalls: number): SoakHistory {
  const history = new SoakHistory();
  for (let crash = 0; crash < 5; crash++) {
    const atMs = crash * 200;
    addCall(history, { callId: `crash-${crash}`, atMs, deadlyPart: "deadly" });
  }
  for (let index = 0; index < lateCalls; index++) {
    const atMs = 10_000 + index * 500;
    addCall(history, { callId: `late-${index}`, atMs, deadlyPart: "deadly" });
  }
  return history;
}

function addCall(
  history: SoakHistory,
  { callId, atMs, deadlyPart }: {
    readonly callId: string;
    readonly atMs: number;
    readonly deadlyPart?: string;
  },
): void {
  history.calls.push({
    process: "front-0",
    kind: "stream",
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
