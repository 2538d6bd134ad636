import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** A call with its parsed body. */
export interface JsonCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** A JSON response. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** A fake that listens on an address. */
export interface FakeServer {
  /** IP:PORT. */
  readonly address: string;
  readonly close: () => Promise<void>;
}

/**
 * Listens on IP:PORT (port 0 selects a free one) and answers JSON calls. A handler
 * that returns undefined writes the response itself.
 */
export function createJsonServer(options: {
  readonly address: string;
  readonly handle: (call: JsonCall) => Promise<JsonAnswer | undefined>;
}): Promise<FakeServer> {
  const [host, port] = options.address.split(":");
  const server = createServer((request, response) => {
    answer(request, { response, handle: options.handle }).catch(() =>
      response.destroy()
    );
  });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(port), host, () => {
      const bound = server.address() as AddressInfo;
      resolve({
        address: `${bound.address}:${bound.port}`,
        close: () =>
          new Promise((closed) => {
            server.close(() => closed());
            server.closeAllConnections();
          }),
      });
    });
  });
}

interface AnswerOptions {
  readonly response: ServerResponse;
  readonly handle: (call: JsonCall) => Promise<JsonAnswer | undefined>;
}

async function answer(
  request: IncomingMessage,
  options: AnswerOptions,
): Promise<void> {
  const { response, handle } = options;
  const url = new URL(request.url ?? "/", "http://fake");
  const result = await handle({
    method: request.method ?? "GET",
    path: url.pathname,
    query: url.searchParams,
    body: await readJson(request),
    request,
    response,
  });
  if (result !== undefined) writeJson(response, result);
}

/** Reads a JSON body; undefined if it is empty or not valid JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  try {
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
  } catch {
    return undefined;
  }
}

/** Writes a JSON response, unless the connection is closed. */
export function writeJson(response: ServerResponse, answer: JsonAnswer): void {
  if (response.destroyed) return;
  const text = JSON.stringify(answer.body ?? null);
  response.writeHead(answer.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
