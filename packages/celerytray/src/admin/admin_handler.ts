import { TRPCError } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { type Context, Effect } from "effect";
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, RequestListener } from "node:http";
import type { Secrets } from "../settings/index.ts";
import {
  parseConfigApplication,
  parseDrainChange,
  parseRollback,
  parseTimelineFilter,
} from "./admin_inputs.ts";
import type { AdminOperations } from "./admin_operations.ts";
import { type AdminRole, createProcedure, trpc } from "./admin_procedures.ts";
import { createPeerRouter, type PeerOperations } from "./peer_router.ts";

/** Options of the administration server. */
export interface AdminHandlerOptions {
  readonly operations: AdminOperations;
  readonly peers: PeerOperations;
  readonly secrets: Secrets;
  readonly runtime: Context.Context<never>;
}

const MAX_BODY_BYTES = 16 * 1024 * 1024;

function createAdminRouter(options: AdminHandlerOptions) {
  const { operations } = options;
  const run = <Value, Failure extends { readonly message: string }>(
    effect: Effect.Effect<Value, Failure>,
  ): Promise<Value> =>
    Effect.runPromiseWith(options.runtime)(
      Effect.mapError(effect, toTrpcError),
    );
  const viewer = createProcedure(["viewer", "operator", "peer"]);
  const operator = createProcedure(["operator"]);
  return trpc.router({
    peer: createPeerRouter({
      operations: options.peers,
      runtime: options.runtime,
    }),
    status: viewer.query(() => run(operations.status())),
    replicas: viewer.query(() => run(operations.replicas())),
    showConfig: viewer.query(() => run(operations.showConfig())),
    timeline: viewer.input(parseTimelineFilter).query(({ input }) =>
      run(operations.timeline(input))
    ),
    mergedTimeline: viewer.input(parseTimelineFilter).query(({ input }) =>
      run(operations.mergedTimeline(input))
    ),
    configHistory: viewer.query(() => run(operations.configHistory())),
    configVersions: viewer.query(() => run(operations.configVersions())),
    rollbackConfig: operator.input(parseRollback).mutation(({ input }) =>
      run(operations.rollbackConfig(input))
    ),
    drain: operator.input(parseDrainChange).mutation(({ input }) =>
      run(operations.drain(input))
    ),
    applyConfig: operator.input(parseConfigApplication).mutation(({ input }) =>
      run(operations.applyConfig(input))
    ),
  });
}

/** Type of the router, for clients. */
export type AdminRouter = ReturnType<typeof createAdminRouter>;

/** Creates the listener of the administration server. */
export function createAdminHandler(
  options: AdminHandlerOptions,
): RequestListener {
  return createHTTPHandler({
    router: createAdminRouter(options),
    maxBodySize: MAX_BODY_BYTES,
    createContext: ({ req }) => ({ role: findRole(req, options.secrets) }),
  });
}

function findRole(
  request: IncomingMessage,
  secrets: Secrets,
): AdminRole | undefined {
  const token = /^Bearer (.+)$/i.exec(request.headers.authorization ?? "")?.[1];
  if (token === undefined) return undefined;
  if (isSameSecret(token, secrets.operatorToken)) return "operator";
  if (isSameSecret(token, secrets.peerSecret)) return "peer";
  if (secrets.viewerToken === undefined) return undefined;
  return isSameSecret(token, secrets.viewerToken) ? "viewer" : undefined;
}

/**
 * Compares digests in constant time, so that the time depends on neither
 * content nor length.
 */
function isSameSecret(given: string, expected: string): boolean {
  const digest = (text: string) => createHash("sha256").update(text).digest();
  return timingSafeEqual(digest(given), digest(expected));
}

function toTrpcError(
  error: { readonly _tag?: string; readonly message: string },
): TRPCError {
  const { message } = error;
  switch (error._tag) {
    case "ConfigConflict":
      return new TRPCError({ code: "CONFLICT", message, cause: error });
    case "ConfigRejected":
      return new TRPCError({ code: "BAD_REQUEST", message, cause: error });
    default:
      return new TRPCError({
        code: "SERVICE_UNAVAILABLE",
        message,
        cause: error,
      });
  }
}
