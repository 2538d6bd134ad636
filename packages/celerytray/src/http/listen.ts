import { Data, Effect, type Scope } from "effect";
import type { RequestListener, Server } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import { steadyMs } from "../clock/index.ts";
import {
  ConnectionLimit,
  type ConnectionLimitOptions,
} from "./connection_limit.ts";
import { OpenResponses } from "./open_responses.ts";
import { readConnectionInTurn, trackAnswers } from "./read_turns.ts";

/** Options of a listening server. */
export interface ListenOptions {
  /** IP:PORT to listen on. */
  readonly address: string;
  readonly handler: RequestListener;
  /** Time within which a request's headers must arrive. */
  readonly headersTimeoutMs?: number;
  /** Time within which a whole request must arrive. */
  readonly requestTimeoutMs?: number;
  readonly maxHeaderBytes?: number;
  /** Bound on connections; by default there is none. */
  readonly connections?: Pick<
    ConnectionLimitOptions,
    "maxConnections" | "onClosed"
  >;
  /** Whether connections that bring many small chunks are read in turn. */
  readonly readsInTurn?: boolean;
  /** Whether the handler itself sends `100 Continue`. */
  readonly handlesContinue?: boolean;
  /** By default an address that another process holds is a failure. */
  readonly inUse?: AddressInUse;
}

/** What to do while another process holds an address. */
export interface AddressInUse {
  /** Longest wait until the other process releases it. */
  readonly waitMs: number;
  /** Called once if it has to be waited for. */
  readonly onWait: (message: string) => void;
}

const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
/** Interval at which an address in use is tried again. */
const RETRY_INTERVAL_MS = 100;

/** The server could not listen on its address. */
export class ListenFailure extends Data.TaggedError("ListenFailure")<{
  readonly message: string;
  /** Whether another process holds the address. */
  readonly isInUse: boolean;
}> {}

/** Splits IP:PORT. */
export function parseAddress(
  address: string,
): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(":");
  return {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}

/**
 * Listens until the scope closes; closes the remaining connections then. Waits
 * for an address that another process holds, if the options say so.
 */
export function listen(
  options: ListenOptions,
): Effect.Effect<Server, ListenFailure, Scope.Scope> {
  const { inUse } = options;
  const open = inUse === undefined
    ? openServer(options)
    : awaitServer(options, inUse);
  return Effect.acquireRelease(open, (server) =>
    Effect.sync(() => {
      server.close();
      server.closeAllConnections();
    }), { interruptible: true });
}

/** Opens a server once its address is free, within the time of the wait. */
function awaitServer(
  options: ListenOptions,
  { waitMs, onWait }: AddressInUse,
): Effect.Effect<Server, ListenFailure> {
  return Effect.gen(function* () {
    const startedAtMs = yield* steadyMs;
    let isWaiting = false;
    while (true) {
      const result = yield* Effect.result(openServer(options));
      if (result._tag === "Success") return result.success;
      const { failure } = result;
      const waitedMs = (yield* steadyMs) - startedAtMs;
      if (!failure.isInUse || waitedMs >= waitMs) {
        return yield* Effect.fail(failure);
      }
      if (!isWaiting) onWait(failure.message);
      isWaiting = true;
      yield* Effect.sleep(RETRY_INTERVAL_MS);
    }
  });
}

function openServer(
  options: ListenOptions,
): Effect.Effect<Server, ListenFailure> {
  return Effect.callback<Server, ListenFailure>((resume) => {
    const responses = new OpenResponses();
    const limit = new ConnectionLimit({
      maxConnections: Number.POSITIVE_INFINITY,
      onClosed: () => {},
      ...options.connections,
      isServed: (socket) => responses.isServed(socket),
    });
    const handler = responses.track(limit.track(trackAnswers(options.handler)));
    const server = createServer({
      headersTimeout: options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
      requestTimeout: options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS,
      maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
    }, handler);
    server.on("connection", (socket) => {
      limit.add(socket);
      if (options.readsInTurn !== true) return;
      readConnectionInTurn(socket, () => responses.isServed(socket));
    });
    if (options.handlesContinue === true) server.on("checkContinue", handler);
    server.on(
      "clientError",
      (error, socket) => responses.handleClientError(error, socket as Socket),
    );
    server.once("error", (error) =>
      resume(Effect.fail(
        new ListenFailure({
          isInUse: (error as NodeJS.ErrnoException).code === "EADDRINUSE",
          message:
            `Cannot listen on ${options.address}: ${error.message}; choose a free IP:PORT`,
        }),
      )));
    server.listen(
      parseAddress(options.address),
      () => resume(Effect.succeed(server)),
    );
  });
}
