import { setTimeout as sleep } from "node:timers/promises";
import {
  createJsonServer,
  type FakeServer,
  type JsonAnswer,
  type JsonCall,
} from "../http/index.ts";
import { FakeLog, type FakeLogFaults } from "./fake_log.ts";

const MAX_WAIT_MS = 30_000;
const DEFAULT_LIMIT = 1_000;

/** Serves a fake log over HTTP; `POST /faults` sets its faults. */
export function serveFakeLog(options: {
  readonly address: string;
  readonly log?: FakeLog;
}): Promise<FakeServer> {
  const log = options.log ?? new FakeLog();
  return createJsonServer({
    address: options.address,
    handle: (call) => handle(call, log),
  });
}

async function handle(
  call: JsonCall,
  log: FakeLog,
): Promise<JsonAnswer | undefined> {
  if (call.path === "/faults") {
    log.faults = call.body as FakeLogFaults;
    return { status: 200, body: log.faults };
  }
  if (log.faults.isSilent === true) return undefined;
  if (log.faults.delayMs !== undefined) await sleep(log.faults.delayMs);
  if (log.faults.isOut === true) {
    return { status: 503, body: { error: "log service unavailable" } };
  }
  const stream = /^\/streams\/([^/]+)\/(records|truncate)$/.exec(call.path);
  if (stream === null) return { status: 404, body: { error: "unknown path" } };
  const name = decodeURIComponent(stream[1]!);
  if (stream[2] === "truncate") {
    const { beforeOffset } = call.body as { readonly beforeOffset: number };
    log.truncate(name, beforeOffset);
    return { status: 200, body: {} };
  }
  return call.method === "POST"
    ? append(call, { log, name })
    : await read(call, { log, name });
}

interface StreamCall {
  readonly log: FakeLog;
  readonly name: string;
}

function append(call: JsonCall, target: StreamCall): JsonAnswer | undefined {
  const { log, name } = target;
  const { records } = call.body as { readonly records: readonly unknown[] };
  if (!log.admitAppend(Date.now())) {
    return { status: 429, body: { error: "append rate limit exceeded" } };
  }
  if (log.faults.lateAppendMs !== undefined) {
    setTimeout(
      () => log.append(name, { records, nowMs: Date.now() }),
      log.faults.lateAppendMs,
    );
    call.response.destroy();
    return undefined;
  }
  const firstOffset = log.append(name, { records, nowMs: Date.now() });
  if (log.faults.losesAnswers === true) {
    call.response.destroy();
    return undefined;
  }
  return { status: 200, body: { firstOffset } };
}

async function read(call: JsonCall, target: StreamCall): Promise<JsonAnswer> {
  const { log, name } = target;
  const fromOffset = Number(call.query.get("from") ?? 0);
  const limit = Number(call.query.get("limit") ?? DEFAULT_LIMIT);
  const waitMs = Math.min(Number(call.query.get("waitMs") ?? 0), MAX_WAIT_MS);
  if (log.nextOffset(name) <= fromOffset && waitMs > 0) {
    await waitForAppend(call, { ...target, fromOffset, waitMs });
  }
  const page = log.read(name, { fromOffset, limit });
  if (page === undefined) {
    return { status: 410, body: { firstOffset: log.firstOffset(name) } };
  }
  return { status: 200, body: page };
}

interface PendingRead extends StreamCall {
  readonly fromOffset: number;
  readonly waitMs: number;
}

function waitForAppend(call: JsonCall, pending: PendingRead): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      unsubscribe();
      resolve();
    };
    const timer = setTimeout(finish, pending.waitMs);
    const unsubscribe = pending.log.onAppend(() => {
      if (pending.log.nextOffset(pending.name) > pending.fromOffset) finish();
    });
    call.response.once("close", finish);
  });
}
