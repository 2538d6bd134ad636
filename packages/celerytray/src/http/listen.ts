import { Data, Effect, type Scope } from "effect";
import type { RequestListener, Server } from "node:http";
import { createServer } from "node:http";

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
  /** Whether the handler itself sends `100 Continue`. */
  readonly handlesContinue?: boolean;
}

const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;

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

/** Listens until the scope closes; closes the remaining connections then. */
export function listen(
  options: ListenOptions,
): Effect.Effect<Server, ListenFailure, Scope.Scope> {
  const open = Effect.callback<Server, ListenFailure>((resume) => {
    const server = createServer({
      headersTimeout: options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
      requestTimeout: options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS,
      maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
    }, options.handler);
    if (options.handlesContinue === true) {
      server.on("checkContinue", options.handler);
    }
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
  return Effect.acquireRelease(open, (server) =>
    Effect.sync(() => {
      server.close();
      server.closeAllConnections();
    }));
}
