import type { KeyedRecord } from "celerytray";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { FakeKeyedStore } from "../store/index.ts";

const LENGTH_BYTES = 4;
const PAGE_HEAD_BYTES = 16;
const UNAVAILABLE_STATUS = 503;

/** The platform's store over HTTP, with the keyed topics that we use. */
export class FakeStoreServer {
  readonly store = new FakeKeyedStore();
  /** Calls so far, by path. */
  readonly calls = new Map<string, number>();
  readonly server: Server = createServer((request, response) =>
    this.#handle(request, response)
  );

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? "/", "http://store");
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    const topic = url.searchParams.get("topic") ?? "";
    if (this.store.faults.isOut === true) {
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
          end: this.store.endOf(topic),
        });
        return;
      case "/log-read":
        this.#read(response, url);
        return;
      default:
        response.writeHead(404).end();
    }
  }

  async #append(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const content = Buffer.concat(chunks).subarray(LENGTH_BYTES);
    const keyEnd = 1 + (content[0] ?? 0);
    const value = content.subarray(keyEnd);
    const at = url.searchParams.get("at");
    const result = this.store.append(url.searchParams.get("topic") ?? "", {
      key: content.subarray(1, keyEnd).toString(),
      ...(value.length === 0 ? {} : { value }),
      ...(at === null ? {} : { at: Number(at) }),
    });
    if (result.kind === "conflict") {
      answerJson(response, 412, { end: result.endOffset });
    } else {
      answerJson(response, 200, {
        offset: result.offset,
        end: result.offset + 1,
      });
    }
  }

  /** Waits for a first record, as long as the caller says. */
  #read(response: ServerResponse, url: URL): void {
    const topic = url.searchParams.get("topic") ?? "";
    const fromOffset = Number(url.searchParams.get("from"));
    const answer = () => {
      clearTimeout(timer);
      stopWaiting();
      response.end(
        encodePage(
          this.store.read(topic, fromOffset),
          this.store.endOf(topic),
        ),
      );
    };
    const timer = setTimeout(answer, Number(url.searchParams.get("wait_ms")));
    const stopWaiting = this.store.onAppend(topic, answer);
    response.on("close", () => {
      clearTimeout(timer);
      stopWaiting();
    });
    if (this.store.endOf(topic) > fromOffset) answer();
  }
}

function encodeNewest({ key, value, offset }: KeyedRecord) {
  return { key, value: value!.toString("base64"), offset };
}

function encodePage(
  records: readonly KeyedRecord[],
  endOffset: number,
): Buffer {
  const head = Buffer.alloc(PAGE_HEAD_BYTES);
  head.writeBigUInt64BE(BigInt(endOffset));
  return Buffer.concat([
    head,
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

/** Answers with a JSON body. */
export function answerJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" })
    .end(JSON.stringify(body));
}
