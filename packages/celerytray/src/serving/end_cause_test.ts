import { expect } from "earl";
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallRecord } from "./call_context.ts";
import { HeldBytes, type HeldResponse } from "./exchange/index.ts";
import {
  call,
  type EntryOptions,
  idOf,
  startBackend,
  startEntry,
} from "./test_entry.ts";

const TIMEOUT_MS = 300;
const POLL_MS = 5;
const SENDING_MS = 30;

// Guards against streams that end early without a line that tells why (LOST).
describe("the record of a stream that has begun and ends early", () => {
  it("names the route's timeout", async () => {
    const record = await recordStream(sendOne, { timeoutMs: TIMEOUT_MS });
    expect([record.outcome, record.cause]).toEqual([
      "broken-off",
      "route-timeout",
    ]);
    expect(record.hasBegun).toEqual(true);
  });

  it("names the caller's timeout, and the time left", async () => {
    const record = await recordStream(sendOne, {}, {
      "deadline-ms": String(TIMEOUT_MS),
    });
    expect(record.cause).toEqual("caller-timeout");
    expect(record.remainingMs! <= 0).toEqual(true);
  });

  it("names the attempts that are used up", async () => {
    const record = await recordStream(sendOneAndEnd, { trySpend: () => true }, {
      "last-event-id": "4",
    }, 2);
    expect([record.cause, record.attempts.length]).toEqual(["attempts", 2]);
  });

  it("names an event without an id", async () => {
    const listener = sendAndEnd("data: a\n\n");
    const record = await recordStream(listener, { trySpend: () => true });
    expect(record.cause).toEqual("not-resumable");
  });

  it("names the retry budget that it waited for until its deadline", async () => {
    const options = { trySpend: () => false };
    const record = await recordStream(sendOneAndEnd, options, {}, 2);
    expect([record.cause, record.awaited]).toEqual([
      "route-timeout",
      "retry-budget",
    ]);
  });

  it("names the memory for callers", async () => {
    const record = await recordStream(sendOne, {
      onStarted: (cut) => cut(),
    });
    expect(record.cause).toEqual("memory");
  });
});

it("tells of a request without a response that no stream had begun", async () => {
  const records: CallRecord[] = [];
  const entry = await startEntry({
    backends: [],
    record: (record) => records.push(record),
  });
  await call(entry, "/safe/x");
  expect([records[0]!.cause, records[0]!.hasBegun]).toEqual([
    "no-target",
    false,
  ]);
});

interface StreamOptions extends Omit<EntryOptions, "backends"> {
  /** Called with what cuts the stream for memory once it has begun. */
  readonly onStarted?: (cut: () => void) => void;
}

/** Sends a stream request; returns the record of its end. */
async function recordStream(
  listener: RequestListener,
  { onStarted, ...options }: StreamOptions,
  headers: Readonly<Record<string, string>> = {},
  backendCount = 1,
): Promise<CallRecord> {
  const records: CallRecord[] = [];
  const held = new CapturingHeldBytes();
  const backends = await Promise.all(
    Array.from({ length: backendCount }, () => startBackend(listener)),
  );
  const entry = await startEntry({
    backends,
    record: (record) => records.push(record),
    held,
    ...options,
  });
  const answer = call(entry, "/stream/x", headers);
  if (onStarted !== undefined) {
    while (held.last === undefined) await sleep(POLL_MS);
    onStarted(() => held.last!.cut());
  }
  expect((await answer).isComplete).toEqual(false);
  while (records.length === 0) await sleep(POLL_MS);
  return records[0]!;
}

/** Holds without a bound, and gives the last response that was held. */
class CapturingHeldBytes extends HeldBytes {
  last: HeldResponse | undefined;

  constructor() {
    super({ maxBytes: Infinity, nowMs: () => 0, onCut: () => {} });
  }

  override update(response: HeldResponse): void {
    this.last = response;
  }
}

/** Sends one event, the next one of the stream, and nothing after it. */
const sendOne: RequestListener = (incoming, response) => {
  const lastId = Number(incoming.headers["last-event-id"] ?? -1);
  send(incoming, response, `id: ${lastId + 1}\ndata: a\n\n`);
};

const sendOneAndEnd: RequestListener = (incoming, response) => {
  sendOne(incoming, response);
  setTimeout(() => incoming.socket.destroy(), SENDING_MS);
};

function sendAndEnd(event: string): RequestListener {
  return (incoming, response) => {
    send(incoming, response, event);
    setTimeout(() => incoming.socket.destroy(), SENDING_MS);
  };
}

function send(
  incoming: IncomingMessage,
  response: ServerResponse,
  event: string,
): void {
  response.writeHead(200, {
    "attempt-id": idOf(incoming),
    "server-stamp": "s",
    "content-type": "text/event-stream",
  });
  response.write(event);
}
