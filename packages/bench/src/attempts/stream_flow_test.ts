import { expect } from "earl";
import { once } from "node:events";
import { request as httpRequest, type ServerResponse } from "node:http";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { requestCompletion } from "./local_calls.ts";
import { LOCAL_API_KEY, startLocalDataPlane } from "./local_data_plane.ts";

const MAX_BUFFERED_BYTES = 2 * 1024 * 1024;
const LONG_WORD = "w".repeat(16 * 1024);
const LONG_TOKEN_COUNT = 2_000;
const SHORT_IDLE_TIMEOUT_MS = 300;
const POLL_COUNT = 40;
const POLL_MS = 10;

describe("cancellation, connections and backpressure of a stream", () => {
  it("cancels the stream at the engine when the caller disconnects", async (context) => {
    const plane = await startLocalDataPlane({
      engineCount: 1,
      tokenIntervalMs: 5,
    });
    context.after(() => plane.close());
    const controller = new AbortController();
    const call = requestCompletion(plane, {
      prompt: "crate",
      tokenCount: 100_000,
      signal: controller.signal,
    });
    while (await plane.countRunningStreams() === 0) await sleep(POLL_MS);
    controller.abort();
    await call.catch(() => undefined);
    while (await plane.countRunningStreams() > 0) await sleep(POLL_MS);
    expect(plane.attemptCount()).toEqual(1);
  });

  it("closes the pooled connections to a replica that fell silent", async (context) => {
    const plane = await startLocalDataPlane({
      engineCount: 1,
      idleTimeoutMs: SHORT_IDLE_TIMEOUT_MS,
    });
    context.after(() => plane.close());
    const requestTokens = () =>
      requestCompletion(plane, { prompt: "crate", tokenCount: 3 });
    const { address } = plane.engines[0]!;
    const countFreeConnections = () =>
      Object.values(plane.pools.agentFor(address).freeSockets).flat().length;
    await Promise.all([requestTokens(), requestTokens(), requestTokens()]);
    expect(countFreeConnections()).toEqual(3);
    await plane.setEngineFaults(0, {
      stream: { kind: "silence", atToken: 1, streamsLeft: 1 },
    });
    expect((await requestTokens()).isComplete).toEqual(false);
    expect(countFreeConnections()).toEqual(0);
    expect((await requestTokens()).isComplete).toEqual(true);
  });

  it("buffers at most 2 MiB for a caller that does not read, then delivers all", async (context) => {
    const plane = await startLocalDataPlane({ engineCount: 1 });
    context.after(() => plane.close());
    let callerResponse: ServerResponse | undefined;
    plane.server.on("request", (_request, response: ServerResponse) => {
      callerResponse = response;
    });
    const request = httpRequest(`${plane.url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${LOCAL_API_KEY}` },
    });
    request.end(JSON.stringify({
      model: "drafter",
      stream: true,
      max_tokens: LONG_TOKEN_COUNT,
      messages: [{ role: "user", content: LONG_WORD }],
    }));
    const [response] = await once(request, "response");
    let maxBufferedBytes = 0;
    for (let poll = 0; poll < POLL_COUNT; poll++) {
      await sleep(POLL_MS);
      maxBufferedBytes = Math.max(
        maxBufferedBytes,
        callerResponse!.writableLength,
      );
    }
    expect(maxBufferedBytes).toEqual(
      Math.min(maxBufferedBytes, MAX_BUFFERED_BYTES),
    );
    let eventCount = 0;
    let lastText = "";
    response.setEncoding("utf8");
    for await (const text of response as AsyncIterable<string>) {
      eventCount += text.split("\ndata: {").length - 1;
      lastText = (lastText + text).slice(-100);
    }
    expect(lastText.endsWith("data: [DONE]\n\n")).toEqual(true);
    expect(eventCount > 0).toEqual(true);
  });
});
