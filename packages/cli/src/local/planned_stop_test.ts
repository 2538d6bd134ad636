import {
  callPlatform,
  createFakeConfig,
  fakePaths,
  FakePlatform,
  type PlatformAnswer,
} from "@celerytray/fakes";
import { expect } from "earl";
import { once } from "node:events";
import { Agent } from "node:http";
import { after, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type HostProcess, startHostProcess } from "./host_process.ts";
import { HOST_PROGRAM, WAIT_OPTIONS } from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

const GRACE_S = 4;
const INSTANCES = 12;
const REQUEST_INTERVAL_MS = 60;
const DEADLINE_MS = 20_000;
/**
 * A connection may be closed at the moment that a request arrives; one that has
 * waited for longer has been read.
 */
const MAX_CROSSED_MS = 200;
/** Shortly before a stopping process without requests ends. */
const STILL_AT_MS = 2_800;
const PATHS = [fakePaths.once, fakePaths.safe];
const NOT_RUN_STATUS = 503;
const cleanups: (() => unknown)[] = [];

after(async () => {
  for (const close of cleanups.reverse()) await close();
});

interface SentCall {
  readonly id: string;
  readonly answer: PlatformAnswer;
  readonly durationMs: number;
}

// Guards against requests on open connections that are taken late in the grace
// time of a planned stop, and cut off without an answer at its end.
describe("a host process that is stopped in calm", () => {
  it("answers all that it takes, and refuses what would come too late", async () => {
    const { calls, ranIds, exit } = await stopUnderLoad({ workMs: 1_500 });
    expect(exit).toEqual([0, null]);
    expect(calls.filter((call) => isCut(call, ranIds))).toEqual([]);
    const refused = calls.filter(({ answer }) =>
      answer.status === NOT_RUN_STATUS
    );
    expect(refused.length > 0).toEqual(true);
    expect(refused.filter(({ id }) => ranIds.has(id))).toEqual([]);
    // What was taken came back in time.
    expect(
      calls.filter(({ id, answer }) => ranIds.has(id) && answer.status !== 200),
    ).toEqual([]);
  });

  it("gives what can't come back in time a final answer", async () => {
    const { calls, ranIds, exit } = await stopUnderLoad({ workMs: 6_000 });
    expect(exit).toEqual([0, null]);
    expect(calls.filter((call) => isCut(call, ranIds))).toEqual([]);
    const ended = calls.filter(({ id }) => ranIds.has(id));
    expect(ended.length > 0).toEqual(true);
    // None of them claims that the request has not run.
    expect(ended.filter(({ answer }) => answer.status !== 502)).toEqual([]);
  });
});

// Guards against connections that are reset before they are accepted or read,
// since the process closes them first after it stood still.
describe("a host process that stands still as it stops", () => {
  for (const durationMs of [400, 1_000]) {
    it(`answers what arrived in the ${durationMs} ms before its end`, async () => {
      const stall = { atMs: STILL_AT_MS, durationMs };
      const { calls, ranIds, exit } = await stopUnderLoad({
        workMs: 20,
        stall,
      });
      expect(exit).toEqual([0, null]);
      expect(calls.filter((call) => isCut(call, ranIds))).toEqual([]);
      const arrived = calls.filter((call) => call.durationMs > MAX_CROSSED_MS);
      expect(arrived.length > 0).toEqual(true);
      expect(
        arrived.filter(({ answer }) => answer.status !== NOT_RUN_STATUS),
      ).toEqual([]);
    });
  }
});

/** Whether a request that was read got no whole answer. */
function isCut(
  { id, answer, durationMs }: SentCall,
  ranIds: ReadonlySet<string>,
): boolean {
  return !answer.isWhole && (ranIds.has(id) || durationMs > MAX_CROSSED_MS);
}

/** Stops a process while callers send requests until it is gone. */
async function stopUnderLoad(
  { workMs, stall }: {
    readonly workMs: number;
    /** When, from the stop on, it is suspended and for how long. */
    readonly stall?: { readonly atMs: number; readonly durationMs: number };
  },
) {
  const platform = new FakePlatform();
  cleanups.push(() => platform.stop());
  const storeAddress = await platform.start();
  platform.publishConfig(createFakeConfig({
    version: 1,
    tenants: [{ name: "o", keys: ["key-1"] }],
    plainTimeoutMs: DEADLINE_MS,
  }));
  for (let index = 0; index < INSTANCES; index++) {
    await platform.startPlainInstance(`s-${index}`, "zone-a");
  }
  const started = await startHostProcess({
    nodeId: "front-1",
    storeAddress,
    program: HOST_PROGRAM,
    settings: { "bounds.grace_s": GRACE_S, "bounds.revoke_ms": 5_000 },
  });
  cleanups.push(started.remove);
  const agent = new Agent({ keepAlive: true });
  cleanups.push(() => agent.destroy());
  await waitUntil("requests are served", {
    ...WAIT_OPTIONS,
    check: async () =>
      (await send(started, "first", agent, fakePaths.safe)).answer.status ===
        200,
  });
  for (const instance of platform.plainInstances.values()) {
    instance.workMs = workMs;
  }
  const sent: Promise<SentCall>[] = [];
  let exit: unknown;
  const exited = once(started.child, "exit").then((how) => exit = how);
  const sendUntil = async (endsAtMs: number) => {
    while (exit === undefined && performance.now() < endsAtMs) {
      const path = PATHS[sent.length % PATHS.length]!;
      sent.push(send(started, `call-${sent.length}`, agent, path));
      await sleep(REQUEST_INTERVAL_MS);
    }
  };
  // Some answers come back first, if they take less than this.
  await sendUntil(performance.now() + 2_000);
  started.child.kill("SIGTERM");
  if (stall !== undefined) void suspend(started, stall);
  await sendUntil(performance.now() + GRACE_S * 1_000);
  await exited;
  const calls = await Promise.all(sent);
  const ranIds = new Set(
    [...platform.plainInstances.values()]
      .flatMap(({ executedCallIds }) => executedCallIds),
  );
  return { calls, ranIds, exit };
}

async function suspend(
  { child }: HostProcess,
  { atMs, durationMs }: { readonly atMs: number; readonly durationMs: number },
): Promise<void> {
  await sleep(atMs);
  child.kill("SIGSTOP");
  await sleep(durationMs);
  child.kill("SIGCONT");
}

async function send(
  { address }: HostProcess,
  id: string,
  agent: Agent,
  path: string,
): Promise<SentCall> {
  const sentAtMs = performance.now();
  const answer = await callPlatform({
    address,
    path,
    callId: id,
    key: "key-1",
    prompt: "body",
    deadlineMs: DEADLINE_MS,
    agent,
  });
  return { id, answer, durationMs: performance.now() - sentAtMs };
}
