import { Agent, request as httpRequest } from "node:http";
import {
  RELAY_API_KEY,
  type RelayLoad,
  type RelayReport,
} from "./relay_messages.ts";

const DONE_EVENT = "data: [DONE]\n\n";

/** Sends requests at the given concurrency; resolves once all have ended. */
export async function runClient(load: RelayLoad): Promise<RelayReport> {
  const agent = new Agent({ keepAlive: true });
  const firstByteUs: number[] = [];
  let completeCount = 0;
  let remainingCount = load.requestCount;
  const startedAtMs = performance.now();
  const sendRequests = async () => {
    while (remainingCount-- > 0) {
      const result = await sendRequest(load, agent);
      firstByteUs.push(result.firstByteUs);
      if (result.isComplete) completeCount += 1;
    }
  };
  await Promise.all(Array.from({ length: load.concurrency }, sendRequests));
  agent.destroy();
  const durationMs = performance.now() - startedAtMs;
  return { completeCount, durationMs, firstByteUs };
}

interface RequestResult {
  readonly isComplete: boolean;
  readonly firstByteUs: number;
}

function sendRequest(load: RelayLoad, agent: Agent): Promise<RequestResult> {
  const [host, port] = load.address.split(":");
  const body = JSON.stringify({
    model: "drafter",
    stream: true,
    max_tokens: load.tokenCount,
    messages: [{ role: "user", content: "Offer a slot for two wardrobes" }],
  });
  return new Promise((resolve) => {
    const sentAtMs = performance.now();
    let firstByteUs = 0;
    let tail: Buffer = Buffer.alloc(0);
    const finish = () =>
      resolve({ isComplete: endsWithDoneEvent(tail), firstByteUs });
    const request = httpRequest({
      host,
      port: Number(port),
      path: "/v1/chat/completions",
      method: "POST",
      agent,
      headers: {
        authorization: `Bearer ${RELAY_API_KEY}`,
        "content-length": Buffer.byteLength(body),
      },
    }, (response) => {
      response.on("data", (chunk: Buffer) => {
        if (firstByteUs === 0) {
          firstByteUs = Math.round((performance.now() - sentAtMs) * 1_000);
        }
        tail = chunk.length >= DONE_EVENT.length
          ? chunk
          : Buffer.concat([tail, chunk]).subarray(-DONE_EVENT.length);
      });
      response.on("end", finish);
      response.on("error", finish);
    });
    request.on("error", finish);
    request.end(body);
  });
}

function endsWithDoneEvent(tail: Buffer): boolean {
  return tail.subarray(-DONE_EVENT.length).toString("latin1") === DONE_EVENT;
}
