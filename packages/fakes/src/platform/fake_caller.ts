import { request } from "node:http";

const MODEL = "m0";
const KEY = "key-1";

/** A configuration with a route of streams, for one organisation. */
export const STREAM_CONFIG = {
  version: 1,
  routes: [{
    name: "drafts",
    host: "a.example",
    path_prefix: "/drafts/",
    kind: "streaming",
    resumable: true,
    max_attempts: 2,
    timeout_ms: 8_000,
    target_latency_ms: 400,
    service: "drafts",
  }],
  services: [{
    name: "drafts",
    engine: {
      slots: 8,
      loads_per_s: 50,
      loads_at_once: 8,
      models: [{ name: MODEL, size: 2, load_s: 0.2, warm_s: 0.1 }],
    },
  }],
  tenants: [{ name: "o", api_keys: [KEY] }],
};

/** What a head of a replica streams. */
export const WHOLE_STREAM = [0, 1, 2, 3, 4].map((id) =>
  `id: ${id}\ndata: ${id}\n\n`
)
  .join("");

/** What a caller was answered. */
export interface StreamAnswer {
  readonly status: number;
  readonly body: string;
}

/** Sends one request of that configuration and waits for the whole answer. */
export function callStream(
  address: string,
  callId: string,
): Promise<StreamAnswer> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const sent = request({
      host,
      port: Number(port),
      path: "/drafts/x",
      method: "POST",
      agent: false,
      headers: {
        host: "a.example",
        "attempt-id": callId,
        "deadline-ms": "8000",
        "x-api-key": KEY,
        model: MODEL,
      },
    }, (response) => {
      let body = "";
      response.on("data", (chunk) => body += String(chunk));
      response.on("error", () => {});
      response.on(
        "close",
        () => resolve({ status: response.statusCode ?? 0, body }),
      );
    });
    sent.on("error", reject);
    sent.end("prompt");
  });
}
