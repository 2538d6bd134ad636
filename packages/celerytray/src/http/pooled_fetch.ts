import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { BackendPools } from "./backend_pools.ts";
import { watchFailure } from "./watch_failure.ts";
import { watchFraming } from "./watch_framing.ts";

/** A request as `fetch` takes it, with a body of text. */
export interface PooledRequest {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Aborts the call and closes its connection. */
  readonly signal?: AbortSignal | null;
}

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
  fetch(url: string, options: PooledRequest = {}): Promise<Response> {
    const { method = "GET", headers = {}, body, signal } = options;
    return new Promise((resolve, reject) => {
      const sent = request(url, {
        method,
        headers,
        agent: this.#pools.agentFor(new URL(url).host),
        ...(signal ? { signal } : {}),
      });
      watchFailure(sent, reject);
      watchFraming(sent, (message) => sent.destroy(new Error(message)));
      sent.on("response", (response) => {
        readResponse(sent, response).then(resolve, reject);
      });
      sent.end(body);
    });
  }

  /** Makes the next call to an address (IP:PORT) use a new connection. */
  discard(address: string): void {
    this.#pools.discard(address);
  }
}

/** Exceeds the largest status and configuration that a process relays. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

async function readResponse(
  sent: ClientRequest,
  response: IncomingMessage,
): Promise<Response> {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  for await (const chunk of response) {
    receivedBytes += (chunk as Buffer).length;
    if (receivedBytes > MAX_RESPONSE_BYTES) {
      sent.destroy();
      throw new Error(`The response exceeds ${MAX_RESPONSE_BYTES} bytes`);
    }
    chunks.push(chunk as Buffer);
  }
  return new Response(Buffer.concat(chunks), {
    status: response.statusCode ?? 0,
    headers: { "content-type": response.headers["content-type"] ?? "" },
  });
}
