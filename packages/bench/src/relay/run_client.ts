import { Agent, request as httpRequest } from "node:http";
import {
  RELAY_KEY,
  type RelayLoad,
  type RelayReport,
} from "./relay_messages.ts";

const END = "data: [DONE]\n\n";

/** Keeps a number of requests in flight until all have ended. */
export async function runClient(load: RelayLoad): Promise<RelayReport> {
  const agent = new Agent({ keepAlive: true });
  const firstByteUs: number[] = [];
  let wholeCount = 0;
  let left = load.requestCount;
  const startedAtMs = performance.now();
  const work = async () => {
    while (left-- > 0) {
      const seen = await ask(load, agent);
      firstByteUs.push(seen.firstByteUs);
      if (seen.isWhole) wholeCount += 1;
    }
  };
  await Promise.all(Array.from({ length: load.concurrency }, work));
  agent.destroy();
  const durationMs = performance.now() - startedAtMs;
  return { wholeCount, durationMs, firstByteUs };
}

interface SeenRequest {
  readonly isWhole: boolean;
  readonly firstByteUs: number;
}

function ask(load: RelayLoad, agent: Agent): Promise<SeenRequest> {
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
    let last: Buffer = Buffer.alloc(0);
    const finish = () => resolve({ isWhole: endsWhole(last), firstByteUs });
    const request = httpRequest({
      host,
      port: Number(port),
      path: "/v1/chat/completions",
      method: "POST",
      agent,
      headers: {
        authorization: `Bearer ${RELAY_KEY}`,
        "content-length": Buffer.byteLength(body),
      },
    }, (response) => {
      response.on("data", (chunk: Buffer) => {
        if (firstByteUs === 0) {
          firstByteUs = Math.round((performance.now() - sentAtMs) * 1_000);
        }
        last = chunk.length >= END.length
          ? chunk
          : Buffer.concat([last, chunk]).subarray(-END.length);
      });
      response.on("end", finish);
      response.on("error", finish);
    });
    request.on("error", finish);
    request.end(body);
  });
}

function endsWhole(last: Buffer): boolean {
  return last.subarray(-END.length).toString("latin1") === END;
}
