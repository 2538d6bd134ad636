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
const GONE_STATUS = 410;

/** Faults of the store that only its callers over HTTP see. */
export interface FakeStoreServerFaults {
  /** Each answer comes that much later. */
  readonly delayMs?: number;
  /** Appends are done, and their connections closed without an answer. */
  readonly losesAnswers?: boolean;
  /** One call in so many is refused. */
  readonly refusesOneIn?: number;
}

/** The platform's store over HTTP, with the keyed topics that we use. */
export class FakeStoreServer {
  readonly store = new FakeKeyedStore();
  /** Calls so far, by path. */
  readonly calls = new Map<string, number>();
  faults: FakeStoreServerFaults = {};
  readonly server: Server = createServer((request, response) => {
    const { delayMs } = this.faults;
    if (delayMs === undefined) this.#handle(request, response);
    else setTimeout(() => this.#handle(request, response), delayMs);
  });
  /** First offset that each topic still has. */
  readonly #starts = new Map<string, number>();
  #callCount = 0;

  /** Keeps only the newest record of each key, as a compacted store does. */
  forgetHistory(topic: string): void {
    this.#starts.set(topic, this.store.endOf(topic));
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
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

  /** Waits for a first record, as long as the caller says. */
  #read(response: ServerResponse, url: URL): void {
    const topic = url.searchParams.get("topic") ?? "";
    const fromOffset = Number(url.searchParams.get("from"));
    if (fromOffset < (this.#starts.get(topic) ?? 0)) {
      response.writeHead(GONE_STATUS).end();
      return;
    }
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
