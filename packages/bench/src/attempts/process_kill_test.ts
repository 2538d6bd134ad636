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
import { listExpectedTokens } from "./local_calls.ts";

const WAIT_TIMEOUT_MS = 30_000;
const TOKEN_COUNT = 100;
const STREAM_COUNT = 20;
const BOOKING_COUNT = 5;
const BOOKING_DELAY_MS = 400;

describe("processes that are stopped under load", () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await startLocalCluster();
    await applyDemoConfig(cluster, { author: "test" });
    await waitUntilReplicasReady(cluster);
  });

  after(() => cluster?.stop());

  it("completes streams when an engine is killed during them", async () => {
    const address = cluster.entries[0]!.address;
    const streams = startStreams(address);
    const [engine] = await findStreamingEngines(cluster);
    await engine!.process.stop("SIGKILL");
    expect(await Promise.all(streams)).toEqual(listExpectedStreams());
  });

  it("completes all calls when an entry instance receives SIGTERM", async () => {
    const entry = cluster.entries[1]!;
    for (const { instance } of cluster.plainBackends) {
      await fetch(`http://${instance.address}/faults`, {
        method: "POST",
        body: JSON.stringify({ delayMs: BOOKING_DELAY_MS }),
      });
    }
    const streams = startStreams(entry.address);
    const bookings = Array.from(
      { length: BOOKING_COUNT },
      () => requestBooking(entry.address),
    );
    await waitUntil("every call is in flight", {
      timeoutMs: WAIT_TIMEOUT_MS,
      check: async () => {
        const status = await cluster.admin(entry).status.query();
        return status.callsInFlight === STREAM_COUNT + BOOKING_COUNT;
      },
    });
    const exitCode = await entry.process.stop("SIGTERM");
    expect(await Promise.all(streams)).toEqual(listExpectedStreams());
    expect(await Promise.all(bookings)).toEqual(
      Array.from({ length: BOOKING_COUNT }, () => 201),
    );
    expect(exitCode).toEqual(0);
  });
});

/** Waits until an engine runs a stream and returns all engines that do. */
async function findStreamingEngines(
  cluster: LocalCluster,
): Promise<LocalCluster["engines"]> {
  let streamingEngines: LocalCluster["engines"] = [];
  await waitUntil("an engine runs a stream", {
    timeoutMs: WAIT_TIMEOUT_MS,
    check: async () => {
      const counts = await Promise.all(
        cluster.engines.map(({ instance }) =>
          countRunningRequests(instance.address)
        ),
      );
      streamingEngines = cluster.engines.filter((_, index) =>
        counts[index]! > 0
      );
      return streamingEngines.length > 0;
    },
  });
  return streamingEngines;
}

async function countRunningRequests(address: string): Promise<number> {
  const response = await fetch(`http://${address}/status`);
  const status = await response.json() as { readonly runningRequests: number };
  return status.runningRequests;
}

interface StreamResult {
  readonly tokens: readonly string[];
  readonly isComplete: boolean;
}

function listExpectedStreams(): StreamResult[] {
  return Array.from({ length: STREAM_COUNT }, (_, index) => ({
    tokens: listExpectedTokens(`c${index}`, TOKEN_COUNT),
    isComplete: true,
  }));
}

function startStreams(address: string): Promise<StreamResult>[] {
  return Array.from(
    { length: STREAM_COUNT },
    (_, index) => requestStream(address, `c${index}`),
  );
}

async function requestStream(
  address: string,
  prompt: string,
): Promise<StreamResult> {
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
  const contentMatches = [...text.matchAll(/"content":"([^"]*)"/g)];
  return {
    tokens: contentMatches.map((match) => match[1]!),
    isComplete: text.endsWith("data: [DONE]\n\n"),
  };
}

async function requestBooking(address: string): Promise<number> {
  const response = await fetch(`http://${address}/services/slotbook/bookings`, {
    method: "POST",
    headers: { authorization: `Bearer ${DEMO_API_KEY}` },
    body: "{}",
  });
  await response.text();
  return response.status;
}
