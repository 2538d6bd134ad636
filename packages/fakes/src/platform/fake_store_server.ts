import type { KeyedRecord } from "celerytray";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { readRequestBody } from "./read_request_body.ts";
import { FakeKeyedStore, type FakeStoreCopy } from "../store/index.ts";

const LENGTH_BYTES = 4;
const PAGE_HEADER_BYTES = 16;
const UNAVAILABLE_STATUS = 503;
const GONE_STATUS = 410;
const ERA_HEADER = "Store-Era";

/** Faults of the store's HTTP interface. */
export interface FakeStoreServerFaults {
  /** Delay before each request is handled. */
  readonly delayMs?: number;
  /** Appends take effect, but their connections are closed without a response. */
  readonly losesAnswers?: boolean;
  /** One call in this many is answered 503. */
  readonly refusesOneIn?: number;
}

/** Fake of the platform's store over HTTP, with keyed topics. */
export class FakeStoreServer {
  readonly store = new FakeKeyedStore();
  /** Number of calls so far, by path. */
  readonly calls = new Map<string, number>();
  faults: FakeStoreServerFaults = {};
  readonly server: Server = createServer((request, response) => {
    const { delayMs } = this.faults;
    if (this.#silent.has(request.socket)) return;
    if (delayMs === undefined) this.#handle(request, response);
    else setTimeout(() => this.#handle(request, response), delayMs);
  });
  /** First offset that can still be read, by topic. */
  readonly #firstOffsets = new Map<string, number>();
  readonly #connections = new Set<Socket>();
  /** Connections on which nothing is answered any more. */
  readonly #silent = new WeakSet<Socket>();
  #callCount = 0;

  constructor() {
    this.server.on("connection", (socket) => {
      this.#connections.add(socket);
      socket.on("close", () => this.#connections.delete(socket));
    });
  }

  /** Stops to answer on the open connections, which stay open. */
  silenceOpenConnections(): void {
    for (const socket of this.#connections) this.#silent.add(socket);
  }

  /**
   * Compacts a topic to the latest record of each key: reads from an offset before
   * its current end are answered 410.
   */
  compactTopic(topic: string): void {
    this.#firstOffsets.set(topic, this.store.endOffset(topic));
  }

  /**
   * Comes back from a copy in a new era: the connections are closed, and what
   * was appended since the copy is gone.
   */
  returnFrom(copy: FakeStoreCopy): void {
    for (const socket of this.#connections) socket.destroy();
    this.store.returnFrom(copy);
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    this.#nameEra(response);
    const url = new URL(request.url ?? "/", "http://store");
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    const topic = url.searchParams.get("topic") ?? "";
    this.#callCount += 1;
    const { refusesOneIn } = this.faults;
    const isRefused = refusesOneIn !== undefined &&
      this.#callCount % refusesOneIn === 0;
    if (this.store.faults.isOut === true || isRefused) {
      request.resume();
      response.writeHead(UNAVAILABLE_STATUS).end();
      return;
    }
    switch (url.pathname) {
      case "/log-append":
        void this.#append(request, response, url);
        return;
      case "/log-newest":
        answerJson(response, 200, {
          items: this.store.readNewest(topic).map(encodeNewest),
          has_more: false,
          end: this.store.endOffset(topic),
        });
        return;
      case "/log-read":
        this.#read(response, url);
        return;
      default:
        response.writeHead(404).end();
    }
  }

  /** Names the era, if the store has ever come back from a copy. */
  #nameEra(response: ServerResponse): void {
    const { era } = this.store;
    if (era > 0) response.setHeader(ERA_HEADER, String(era));
  }

  async #append(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const body = await readRequestBody(request);
    if (body === undefined) return;
    const content = body.subarray(LENGTH_BYTES);
    const keyEnd = 1 + (content[0] ?? 0);
    const value = content.subarray(keyEnd);
    const at = url.searchParams.get("at");
    this.#nameEra(response);
    const result = this.store.append(url.searchParams.get("topic") ?? "", {
      key: content.subarray(1, keyEnd).toString(),
      ...(value.length === 0 ? {} : { value }),
      ...(at === null ? {} : { at: Number(at) }),
    });
    if (this.faults.losesAnswers === true) response.destroy();
    else if (result.kind === "conflict") {
      answerJson(response, 412, { end: result.endOffset });
    } else {
      answerJson(response, 200, {
        offset: result.offset,
        end: result.offset + 1,
      });
    }
  }

  /**
   * Answers with the records from an offset on; waits up to `wait_ms` for the
   * first one.
   */
  #read(response: ServerResponse, url: URL): void {
    const topic = url.searchParams.get("topic") ?? "";
    const fromOffset = Number(url.searchParams.get("from"));
    const isKept = () =>
      fromOffset >= (this.#firstOffsets.get(topic) ?? 0) &&
      fromOffset <= this.store.endOffset(topic);
    if (!isKept()) {
      response.writeHead(GONE_STATUS).end();
      return;
    }
    const answer = () => {
      clearTimeout(timer);
      stopWaiting();
      if (response.socket === null || this.#silent.has(response.socket)) return;
      this.#nameEra(response);
      if (!isKept()) {
        response.writeHead(GONE_STATUS).end();
        return;
      }
      response.end(
        encodePage(
          this.store.read(topic, fromOffset),
          this.store.endOffset(topic),
        ),
      );
    };
    const timer = setTimeout(answer, Number(url.searchParams.get("wait_ms")));
    const stopWaiting = this.store.onAppend(topic, answer);
    response.on("close", () => {
      clearTimeout(timer);
      stopWaiting();
    });
    if (this.store.endOffset(topic) > fromOffset) answer();
  }
}

function encodeNewest({ key, value, offset }: KeyedRecord) {
  return { key, value: value!.toString("base64"), offset };
}

function encodePage(
  records: readonly KeyedRecord[],
  endOffset: number,
): Buffer {
  const header = Buffer.alloc(PAGE_HEADER_BYTES);
  header.writeBigUInt64BE(BigInt(endOffset));
  return Buffer.concat([
    header,
    ...records.map(({ key, value }) => {
      const keyBytes = Buffer.from(key);
      const content = Buffer.concat([
        Buffer.from([keyBytes.length]),
        keyBytes,
        value ?? Buffer.alloc(0),
      ]);
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(content.length);
      return Buffer.concat([length, content]);
    }),
  ]);
}

/** Sends a JSON response. */
export function answerJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" })
    .end(JSON.stringify(body));
}
