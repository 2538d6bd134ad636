import {
  callPlatform,
  completeJoinedFaults,
  createCompleteStream,
  createFakeConfig,
  FAKE_MODEL,
  type FakeArrival,
  type FakeHttpInstance,
  fakePaths,
  FakePlatform,
  type JoinedAnswer,
  type Joining,
  type PlatformAnswer,
} from "@celerytray/fakes";
import { expect } from "earl";
import { EventEmitter } from "node:events";
import { Agent } from "node:http";
import { after, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type HostProcess, startHostProcess } from "./host_process.ts";
import { HOST_PROGRAM, WAIT_OPTIONS } from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

const MODEL_INSTANCES = 5;
const PLAIN_INSTANCES = 4;
const REPLICAS = 2;
const KEY = "key-1";
const DEADLINE_MS = 8_000;
const CALLERS_OF_EACH_KIND = 3;
const CALLS_OF_EACH_CALLER = 24;
/** One in so many answers is joined. */
const ONE_IN = 3;
const STREAM_FAULTS = [...completeJoinedFaults, "no-chunk-size"] as const;
const PIECE_MS = 40;
const RETRY_RATIO = 10;
const STREAMS_OF_FIRST = "stream-0-";
const STOP_MS = 300;
/** Time from the end of a stop until the next one may begin. */
const RUN_MS = 20;
const kinds = ["stream", "once", "safe"] as const;
const cleanups: (() => unknown)[] = [];

after(async () => {
  for (const close of cleanups.reverse()) await close();
});

interface SentCall {
  readonly kind: typeof kinds[number];
  readonly callId: string;
  readonly prompt: string;
  readonly answer: PlatformAnswer;
}

// Guards against pieces that come twice, and complete answers that are discarded
// (502, or a second run), as bytes of no response arrive in one read with them.
describe("answers that arrive in one read with what is wrong", () => {
  it("reach callers whole, each piece once, after one run", async (test) => {
    const cluster = await startCluster();
    join(cluster, { pieceMs: 0 });
    const calls = await callAll(cluster);
    test.diagnostic(describeJoined(cluster));
    expectWhole(cluster, calls);
  });

  // A stop begins as a request arrives and lasts longer than its answer, so that
  // the process finds in one read what was written at different times.
  it("do so while a process is stopped and continued", async (test) => {
    const cluster = await startCluster();
    join(cluster, { pieceMs: PIECE_MS });
    const countStops = stopOnArrivals(cluster);
    const calls = await callAll(cluster);
    test.diagnostic(`${countStops()} stops; ${describeJoined(cluster)}`);
    expectWhole(cluster, calls);
  });
});

type Cluster = Awaited<ReturnType<typeof startCluster>>;

/** Starts two processes in front of model instances and plain ones. */
async function startCluster() {
  const arrivals: FakeArrival[] = [];
  const joined: JoinedAnswer[] = [];
  const arriving = new EventEmitter();
  const platform = new FakePlatform({
    onArrival: (arrival) => {
      arrivals.push(arrival);
      arriving.emit("arrival", arrival);
    },
    onJoined: (answer) => joined.push(answer),
  });
  cleanups.push(() => platform.stop());
  const storeAddress = await platform.start();
  platform.publishConfig(createFakeConfig({
    version: 1,
    tenants: [{ name: "o", keys: [KEY] }],
    targetMs: DEADLINE_MS,
    plainTimeoutMs: DEADLINE_MS,
  }));
  for (let index = 0; index < MODEL_INSTANCES; index++) {
    await platform.startInstance(`model-${index}`, "domain-0");
  }
  for (let index = 0; index < PLAIN_INSTANCES; index++) {
    await platform.startPlainInstance(`plain-${index}`, "zone-a");
  }
  const processes = [
    await startFront("front-1", storeAddress),
    await startFront("front-2", storeAddress),
  ];
  for (const process of processes) await waitUntilServing(platform, process);
  return { platform, processes, arriving, arrivals, joined };
}

async function startFront(
  nodeId: string,
  storeAddress: string,
): Promise<HostProcess> {
  const started = await startHostProcess({
    nodeId,
    storeAddress,
    program: HOST_PROGRAM,
    // Every stream that is broken off may be resumed.
    settings: { "bounds.grace_s": 4, "bounds.retry_ratio": RETRY_RATIO },
  });
  cleanups.push(started.remove);
  return started;
}

async function waitUntilServing(platform: FakePlatform, process: HostProcess) {
  await waitUntil("the process serves each kind", {
    ...WAIT_OPTIONS,
    check: async () => {
      const calls = await Promise.all(
        kinds.map((kind) =>
          send(process, { kind, callId: `first-${kind}`, agent: false })
        ),
      );
      return platform.listServing().length === REPLICAS &&
        calls.every(({ answer }) => answer.status === 200);
    },
  });
}

/** Has all instances join a share of their answers, with each fault in turn. */
function join(
  { platform, joined, arrivals }: Cluster,
  { pieceMs }: { readonly pieceMs: number },
): void {
  joined.length = 0;
  arrivals.length = 0;
  const start = (instance: FakeHttpInstance, faults: Joining["faults"]) =>
    instance.joining = { faults, oneIn: ONE_IN, pieceMs };
  for (const instance of platform.instances.values()) {
    start(instance, STREAM_FAULTS);
  }
  for (const instance of platform.plainInstances.values()) {
    start(instance, completeJoinedFaults);
  }
}

async function callAll({ processes }: Cluster): Promise<readonly SentCall[]> {
  const calls = processes.flatMap((process, index) =>
    kinds.flatMap((kind) =>
      Array.from(
        { length: CALLERS_OF_EACH_KIND },
        (_, caller) =>
          callRepeatedly(process, kind, `${kind}-${index}-${caller}`),
      )
    )
  );
  return (await Promise.all(calls)).flat();
}

async function callRepeatedly(
  process: HostProcess,
  kind: SentCall["kind"],
  caller: string,
): Promise<readonly SentCall[]> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const calls: SentCall[] = [];
  for (let call = 0; call < CALLS_OF_EACH_CALLER; call++) {
    const callId = `${caller}-${call}`;
    calls.push(await send(process, { kind, callId, agent }));
  }
  agent.destroy();
  return calls;
}

async function send(
  { address }: HostProcess,
  { kind, callId, agent }: {
    readonly kind: SentCall["kind"];
    readonly callId: string;
    readonly agent: Agent | false;
  },
): Promise<SentCall> {
  const prompt = `prompt of ${callId}`;
  const answer = await callPlatform({
    address,
    path: fakePaths[kind],
    callId,
    key: KEY,
    prompt,
    deadlineMs: DEADLINE_MS,
    agent,
    ...(kind === "stream" ? { model: FAKE_MODEL } : {}),
  });
  return { kind, callId, prompt, answer };
}

/**
 * Stops the first process as a stream's request from it arrives at an instance,
 * and continues it later.
 * Returns a function that counts the stops.
 */
function stopOnArrivals({ processes, arriving }: Cluster): () => number {
  const { child } = processes[0]!;
  let stops = 0;
  let mayStop = true;
  arriving.on("arrival", async ({ callId }: FakeArrival) => {
    if (!mayStop || !callId.startsWith(STREAMS_OF_FIRST)) return;
    mayStop = false;
    stops += 1;
    child.kill("SIGSTOP");
    await sleep(STOP_MS);
    child.kill("SIGCONT");
    await sleep(RUN_MS);
    mayStop = true;
  });
  return () => stops;
}

/** Tells how many answers were joined, by kind and fault. */
function describeJoined({ joined }: Cluster): string {
  const counts = new Map<string, number>();
  for (const { callId, fault } of joined) {
    const name = `${callId.split("-")[0]} ${fault}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].sort().map(([name, count]) => `${name}: ${count}`)
    .join(", ");
}

function expectWhole(cluster: Cluster, calls: readonly SentCall[]): void {
  expect(countFaults(cluster, calls)).toEqual({
    streamsWithAPieceTwice: 0,
    otherStreams: 0,
    plainAnswersLost: 0,
    runAgain: 0,
  });
  const faults = new Set(cluster.joined.map(({ fault }) => fault));
  expect(faults).toEqual(new Set(STREAM_FAULTS));
}

/** Counts the calls whose answer is wrong, and those that ran too often. */
function countFaults(
  { arrivals, joined }: Cluster,
  calls: readonly SentCall[],
) {
  const runs = new Map<string, number>();
  for (const { callId } of arrivals) {
    runs.set(callId, (runs.get(callId) ?? 0) + 1);
  }
  const broken = new Set(
    joined.filter(({ fault }) => fault === "no-chunk-size")
      .map(({ callId }) => callId),
  );
  const wrong = calls.filter((call) => !isWhole(call));
  const streams = wrong.filter(({ kind }) => kind === "stream");
  const repeated = streams.filter(({ answer }) => hasPieceTwice(answer.body));
  const runAgain = calls.filter(({ callId }) =>
    runs.get(callId) !== (broken.has(callId) ? 2 : 1)
  );
  return {
    streamsWithAPieceTwice: repeated.length,
    otherStreams: streams.length - repeated.length,
    plainAnswersLost: wrong.length - streams.length,
    runAgain: runAgain.length,
  };
}

function isWhole({ kind, prompt, answer }: SentCall): boolean {
  const expected = kind === "stream" ? createCompleteStream(prompt) : prompt;
  return answer.status === 200 && answer.isWhole && answer.body === expected;
}

function hasPieceTwice(body: string): boolean {
  const ids = body.match(/^id: \d+$/gm) ?? [];
  return new Set(ids).size < ids.length;
}
