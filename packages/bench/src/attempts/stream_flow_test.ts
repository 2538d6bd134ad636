import { expect } from "earl";
import { once } from "node:events";
import { request as httpRequest, type ServerResponse } from "node:http";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { askCompletion } from "./local_calls.ts";
import { LOCAL_KEY, startLocalDataPlane } from "./local_data_plane.ts";

const MAX_BUFFERED_BYTES = 2 * 1024 * 1024;
const LONG_WORD = "w".repeat(16 * 1024);
const LONG_TOKEN_COUNT = 2_000;
const SHORT_IDLE_TIMEOUT_MS = 300;
const POLLS = 40;
const POLL_MS = 10;

describe("flow of a stream", () => {
  it("cancels at the engine when the caller leaves", async (context) => {
    const plane = await startLocalDataPlane({
      engineCount: 1,
      tokenIntervalMs: 5,
    });
    context.after(() => plane.close());
    const left = new AbortController();
    const call = askCompletion(plane, {
      prompt: "crate",
      tokenCount: 100_000,
      signal: left.signal,
    });
    while (await plane.runningStreams() === 0) await sleep(POLL_MS);
    left.abort();
    await call.catch(() => undefined);
    while (await plane.runningStreams() > 0) await sleep(POLL_MS);
    expect(plane.attemptCount()).toEqual(1);
  });

  it("keeps no pooled connection of a replica that went silent", async (context) => {
    const plane = await startLocalDataPlane({
      engineCount: 1,
      idleTimeoutMs: SHORT_IDLE_TIMEOUT_MS,
    });
    context.after(() => plane.close());
    const ask = () => askCompletion(plane, { prompt: "crate", tokenCount: 3 });
    const { address } = plane.engines[0]!;
    const countFree = () =>
      Object.values(plane.pools.agentFor(address).freeSockets).flat().length;
    await Promise.all([ask(), ask(), ask()]);
    expect(countFree()).toEqual(3);
    await plane.setEngineFaults(0, {
      stream: { kind: "silence", atToken: 1, streamsLeft: 1 },
    });
    expect((await ask()).isWhole).toEqual(false);
    expect(countFree()).toEqual(0);
    expect((await ask()).isWhole).toEqual(true);
  });

  it("holds little for a caller who takes nothing, then all arrives", async (context) => {
    const plane = await startLocalDataPlane({ engineCount: 1 });
    context.after(() => plane.close());
    let served: ServerResponse | undefined;
    plane.server.on("request", (_request, response: ServerResponse) => {
      served = response;
    });
    const request = httpRequest(`${plane.url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${LOCAL_KEY}` },
    });
    request.end(JSON.stringify({
      model: "drafter",
      stream: true,
      max_tokens: LONG_TOKEN_COUNT,
      messages: [{ role: "user", content: LONG_WORD }],
    }));
    const [response] = await once(request, "response");
    let maxBufferedBytes = 0;
    for (let poll = 0; poll < POLLS; poll++) {
      await sleep(POLL_MS);
      maxBufferedBytes = Math.max(
        maxBufferedBytes,
        served!.writableLength,
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
