import { request } from "node:http";
import { ByteCollector } from "./byte_collector.ts";
import { BackendPools } from "./backend_pools.ts";
import { watchExchange } from "./watch_exchange.ts";
import { watchFraming } from "./watch_framing.ts";

/** A request as `fetch` takes it, with a body of text. */
export interface PooledRequest {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Aborts the call and closes its connection. */
  readonly signal?: AbortSignal | null;
}

interface TextResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Exceeds the largest status and configuration that a process relays. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/**
 * A `fetch` for text bodies over HTTP whose pool of connections can be
 * discarded.
 */
export class PooledFetch {
  readonly #pools = new BackendPools();

  /**
   * Sends a request to an `http:` URL and reads the whole response. Rejects with
   * the system error of the connection.
   */
  async fetch(url: string, options: PooledRequest = {}): Promise<Response> {
    const { body, status, contentType } = await this.#send(url, options);
    return new Response(body, {
      status,
      headers: { "content-type": contentType },
    });
  }

  /** Makes the next call to an address (IP:PORT) use a new connection. */
  discard(address: string): void {
    this.#pools.discard(address);
  }

  #send(url: string, options: PooledRequest): Promise<TextResponse> {
    const { method = "GET", headers = {}, body, signal } = options;
    return new Promise((resolve, reject) => {
      const sent = request(url, {
        method,
        headers,
        agent: this.#pools.agentFor(new URL(url).host),
        ...(signal ? { signal } : {}),
      });
      signal?.addEventListener("abort", () => reject(signal.reason), {
        once: true,
      });
      const close = (message: string) => {
        reject(new Error(message));
        sent.destroy();
      };
      watchFraming(sent, close);
      watchExchange(sent, {
        onFailure: reject,
        onResponse: (response) => {
          const collected = new ByteCollector();
          response.on("data", (chunk: Buffer) => {
            if (collected.bytes + chunk.length <= MAX_RESPONSE_BYTES) {
              collected.add(chunk);
            } else close(`The response exceeds ${MAX_RESPONSE_BYTES} bytes`);
          });
          return () =>
            resolve({
              status: response.statusCode ?? 0,
              contentType: response.headers["content-type"] ?? "",
              body: collected.take(),
            });
        },
      });
      sent.end(body);
    });
  }
}
