/**
 * Stand-in of the platform's metadata store: keyed topics of a log over HTTP.
 * It can be away, and come back from a copy that is some seconds old.
 */
import { createServer } from "node:http";

const LENGTH_BYTES = 4;
const HEADER_BYTES = 16;

export class Store {
  /** Records of each topic, in the order of their offsets. */
  #topics = new Map();
  #waiting = new Set();
  #sockets = new Set();
  #isAway = false;
  /** Rises each time the store comes back from a copy. */
  era = 1;
  server = createServer((request, response) => {
    void this.#handle(request, response);
  });

  constructor() {
    this.server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  /** Listens; returns its address. */
  async open() {
    await new Promise((resolve) =>
      this.server.listen(0, "127.0.0.1", () => resolve())
    );
    return `127.0.0.1:${this.server.address().port}`;
  }

  /** Stops for good. */
  stop() {
    this.leave();
    this.server.close();
  }

  /** Appends a record, as the operator, a replica or the system does. */
  append(topic, key, value, at) {
    const records = this.#recordsOf(topic);
    if (at !== undefined && at !== records.length) return undefined;
    records.push({ key, value, atMs: performance.now() });
    for (const wake of [...this.#waiting]) wake();
    return records.length - 1;
  }

  get isAway() {
    return this.#isAway;
  }

  endOf(topic) {
    return this.#recordsOf(topic).length;
  }

  recordsOf(topic) {
    return [...this.#recordsOf(topic)];
  }

  /** Goes away: all connections are closed, and new ones get no answer. */
  leave() {
    this.#isAway = true;
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Comes back as it was. */
  return() {
    this.#isAway = false;
  }

  /** Comes back from the copy made at a time; returns the lost records. */
  returnFromCopy(copiedAtMs) {
    const lost = [];
    for (const [topic, records] of this.#topics) {
      const kept = records.findIndex(({ atMs }) => atMs > copiedAtMs);
      if (kept < 0) continue;
      lost.push(
        ...records.splice(kept).map(({ key }, index) => ({
          topic,
          key,
          offset: kept + index,
        })),
      );
    }
    this.era += 1;
    this.#isAway = false;
    return lost;
  }

  #recordsOf(topic) {
    let records = this.#topics.get(topic);
    if (records === undefined) {
      records = [];
      this.#topics.set(topic, records);
    }
    return records;
  }

  async #handle(request, response) {
    response.on("error", () => {});
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (this.#isAway) {
      request.socket.destroy();
      return;
    }
    response.setHeader("store-era", String(this.era));
    const url = new URL(request.url, "http://store");
    const topic = url.searchParams.get("topic") ?? "";
    if (url.pathname === "/log-append") {
      this.#append(response, { url, topic, body: Buffer.concat(chunks) });
    } else if (url.pathname === "/log-newest") {
      this.#readNewest(response, topic);
    } else if (url.pathname === "/log-read") {
      this.#read(response, { url, topic });
    } else response.writeHead(404).end();
  }

  #append(response, { url, topic, body }) {
    const content = body.subarray(LENGTH_BYTES);
    const keyEnd = 1 + content[0];
    const value = content.subarray(keyEnd);
    const at = url.searchParams.get("at");
    const offset = this.append(
      topic,
      content.subarray(1, keyEnd).toString(),
      value.length === 0 ? undefined : value,
      at === null ? undefined : Number(at),
    );
    if (offset === undefined) {
      answerJson(response, 412, { end: this.endOf(topic) });
    } else answerJson(response, 200, { offset, end: offset + 1 });
  }

  #readNewest(response, topic) {
    const newest = new Map();
    this.#recordsOf(topic).forEach(({ key, value }, offset) => {
      if (value === undefined) newest.delete(key);
      else newest.set(key, { key, value: value.toString("base64"), offset });
    });
    answerJson(response, 200, {
      items: [...newest.values()],
      has_more: false,
      end: this.endOf(topic),
    });
  }

  #read(response, { url, topic }) {
    const from = Number(url.searchParams.get("from"));
    const { era } = this;
    const settle = (isDue) => {
      const records = this.#recordsOf(topic);
      if (response.destroyed || this.#isAway || era !== this.era) {
        stop();
        response.destroy();
      } else if (from > records.length) {
        stop();
        answerJson(response, 410, { first: 0 });
      } else if (isDue || records.length > from) {
        stop();
        response.end(encodePage(records, from));
      }
    };
    const wake = () => settle(false);
    const stop = () => {
      clearTimeout(timer);
      this.#waiting.delete(wake);
    };
    this.#waiting.add(wake);
    const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
    const timer = setTimeout(() => settle(true), waitMs);
    response.on("close", stop);
    wake();
  }
}

function encodePage(records, from) {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeBigUInt64BE(BigInt(records.length));
  const encoded = records.slice(from).map(({ key, value }) => {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      value ?? Buffer.alloc(0),
    ]);
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
  });
  return Buffer.concat([header, ...encoded]);
}

export function answerJson(response, status, body) {
  response.writeHead(status, { "content-type": "application/json" })
    .end(JSON.stringify(body));
}
