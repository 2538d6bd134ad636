import {
  applyDemoConfig,
  DEMO_API_KEY,
  type LocalCluster,
  startLocalCluster,
  waitUntil,
  waitUntilReplicasReady,
} from "@celerytray/cli";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { expectTokens } from "./local_calls.ts";

const START_TIMEOUT_MS = 30_000;
const TOKEN_COUNT = 100;
const STREAM_COUNT = 20;
const BOOKING_COUNT = 5;
const BOOKING_DELAY_MS = 400;

describe("processes that end under load", () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await startLocalCluster();
    await applyDemoConfig(cluster, { author: "test" });
    await waitUntilReplicasReady(cluster);
  });

  after(() => cluster?.stop());

  it("gives whole answers when an engine is killed within them", async () => {
    const address = cluster.entries[0]!.address;
    const streams = askMany(address);
    const [leader] = await findBusyLeaders(cluster);
    await leader!.process.stop("SIGKILL");
    expect(await Promise.all(streams)).toEqual(allWhole());
  });

  it("cuts nothing when an entry instance is told to stop", async () => {
    const entry = cluster.entries[1]!;
    for (const { instance } of cluster.plainBackends) {
      await fetch(`http://${instance.address}/faults`, {
        method: "POST",
        body: JSON.stringify({ delayMs: BOOKING_DELAY_MS }),
      });
    }
    const streams = askMany(entry.address);
    const bookings = Array.from(
      { length: BOOKING_COUNT },
      () => book(entry.address),
    );
    await waitUntil("every call is in flight", {
      timeoutMs: START_TIMEOUT_MS,
      check: async () => {
        const status = await cluster.admin(entry).status.query();
        return status.callsInFlight === STREAM_COUNT + BOOKING_COUNT;
      },
    });
    const exitCode = await entry.process.stop("SIGTERM");
    expect(await Promise.all(streams)).toEqual(allWhole());
    expect(await Promise.all(bookings)).toEqual(
      Array.from({ length: BOOKING_COUNT }, () => 201),
    );
    expect(exitCode).toEqual(0);
  });
});

/** Engines that run streams now. */
async function findBusyLeaders(
  cluster: LocalCluster,
): Promise<LocalCluster["engines"]> {
  let busy: LocalCluster["engines"] = [];
  await waitUntil("an engine runs a stream", {
    timeoutMs: START_TIMEOUT_MS,
    check: async () => {
      const counts = await Promise.all(
        cluster.engines.map(({ instance }) => countRunning(instance.address)),
      );
      busy = cluster.engines.filter((_, index) => counts[index]! > 0);
      return busy.length > 0;
    },
  });
  return busy;
}

async function countRunning(address: string): Promise<number> {
  const response = await fetch(`http://${address}/status`);
  const status = await response.json() as { readonly runningRequests: number };
  return status.runningRequests;
}

interface SeenStream {
  readonly tokens: readonly string[];
  readonly isWhole: boolean;
}

function allWhole(): SeenStream[] {
  return Array.from({ length: STREAM_COUNT }, (_, index) => ({
    tokens: expectTokens(`c${index}`, TOKEN_COUNT),
    isWhole: true,
  }));
}

function askMany(address: string): Promise<SeenStream>[] {
  return Array.from(
    { length: STREAM_COUNT },
    (_, index) => ask(address, `c${index}`),
  );
}

async function ask(address: string, prompt: string): Promise<SeenStream> {
  const response = await fetch(`http://${address}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${DEMO_API_KEY}` },
    body: JSON.stringify({
      model: "drafter",
      stream: true,
      max_tokens: TOKEN_COUNT,
      messages: [{ role: "user", content: prompt }],
    }),
  });
  const text = await response.text().catch((error: Error) => error.message);
  const contents = [...text.matchAll(/"content":"([^"]*)"/g)];
  return {
    tokens: contents.map((match) => match[1]!),
    isWhole: text.endsWith("data: [DONE]\n\n"),
  };
}

async function book(address: string): Promise<number> {
  const response = await fetch(`http://${address}/services/slotbook/bookings`, {
    method: "POST",
    headers: { authorization: `Bearer ${DEMO_API_KEY}` },
    body: "{}",
  });
  await response.text();
  return response.status;
}
