import {
  callPlatform,
  createCompleteStream,
  createFakeConfig,
  FAKE_MODEL,
  type FakeArrival,
  fakePaths,
  FakePlatform,
  type PlatformAnswer,
} from "@celerytray/fakes";
import { expect } from "earl";
import { after, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type HostProcess, startHostProcess } from "./host_process.ts";
import { HOST_PROGRAM, WAIT_OPTIONS } from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

const KEY = "key-1";
const STREAMS = 6;
const DEADLINE_MS = 8_000;
/** Shorter than the drain time, so that the replica still takes streams. */
const STREAMS_AFTER_MS = 1_000;
/** A stream has five events and ends a pause after the last one. */
const EVENT_PAUSE_MS = 1_000;
const cleanups: (() => unknown)[] = [];

after(async () => {
  for (const close of cleanups.reverse()) await close();
});

// Guards against streams that an order of our own cuts (LOST): a member of the
// only replica drains, and the head is ordered to interrupt what it serves while
// that has most of its time left.
describe("a replica whose member drains", () => {
  it("completes the streams that it serves", async () => {
    const { platform, process, arrivals } = await startCluster();
    for (const instance of platform.instances.values()) {
      instance.eventPauseMs = EVENT_PAUSE_MS;
    }
    arrivals.length = 0;
    platform.announceLeaving(findMember(platform));
    await sleep(STREAMS_AFTER_MS);
    const answers = await Promise.all(
      Array.from(
        { length: STREAMS },
        (_, index) => stream(process, `stream-${index}`),
      ),
    );
    const cut = answers.filter(isCut);
    expect(cut.map(({ status, body }) => [status, body])).toEqual([]);
    expect(arrivals.length).toEqual(STREAMS);
  });
});

interface SentStream extends PlatformAnswer {
  readonly prompt: string;
}

function isCut({ status, isWhole, body, prompt }: SentStream): boolean {
  return status !== 200 || !isWhole || body !== createCompleteStream(prompt);
}

/** Starts a process in front of a single replica of two instances. */
async function startCluster() {
  const arrivals: FakeArrival[] = [];
  const platform = new FakePlatform({
    onArrival: (arrival) => arrivals.push(arrival),
  });
  cleanups.push(() => platform.stop());
  const storeAddress = await platform.start();
  platform.publishConfig(createFakeConfig({
    version: 1,
    tenants: [{ name: "o", keys: [KEY] }],
  }));
  for (const id of ["model-0", "model-1"]) {
    await platform.startInstance(id, "domain-0");
  }
  const process = await startHostProcess({
    nodeId: "front-1",
    storeAddress,
    program: HOST_PROGRAM,
  });
  cleanups.push(process.remove);
  await waitUntil("the process serves streams", {
    ...WAIT_OPTIONS,
    check: async () => (await stream(process, "first")).status === 200,
  });
  return { platform, process, arrivals };
}

/** The member of the replica that is not its head. */
function findMember(platform: FakePlatform): string {
  const [head] = platform.listServing();
  return head!.instance.membership!.members[1]!;
}

async function stream(
  { address }: HostProcess,
  callId: string,
): Promise<SentStream> {
  const prompt = `prompt of ${callId}`;
  const answer = await callPlatform({
    address,
    path: fakePaths.stream,
    callId,
    key: KEY,
    prompt,
    deadlineMs: DEADLINE_MS,
    agent: false,
    model: FAKE_MODEL,
  });
  return { ...answer, prompt };
}
