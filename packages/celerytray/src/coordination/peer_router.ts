import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { Data, Effect } from "effect";
import type { RequestListener } from "node:http";
import type { InstanceAddress, Reaches } from "../groups/index.ts";
import { PooledFetch, type PooledRequest } from "../http/index.ts";
import { REPLY_TIMEOUT_MS } from "./intervals.ts";
import {
  parseReport,
  type PeerReport,
  type ReportReply,
} from "./peer_messages.ts";

/** Operations that other processes call on this one. */
export interface CoordinationOperations {
  /**
   * Handles a report; replies once there are updates or its hold time has
   * passed.
   */
  readonly report: (report: PeerReport) => Effect.Effect<ReportReply>;
  /** Age of the newest status that this process has of the leader of `term`. */
  readonly heardLeadAgoMs: (term: number) => number | undefined;
  /** Whether this process reaches instances. */
  readonly findReaches: (
    instances: readonly InstanceAddress[],
  ) => Effect.Effect<Reaches>;
}

/** Another process did not reply. */
export class PeerUnresponsive extends Data.TaggedError("PeerUnresponsive")<{
  readonly message: string;
  /** Whether its address refused the connection. */
  readonly isRefused: boolean;
}> {}

const trpc = initTRPC.create();

/** RPC procedures between the processes of a deployment. */
export function createPeerRouter(operations: CoordinationOperations) {
  return trpc.router({
    report: trpc.procedure.input(parseReport).mutation(({ input }) =>
      Effect.runPromise(operations.report(input))
    ),
    heardLead: trpc.procedure.input(parseTerm).query(({ input }) =>
      operations.heardLeadAgoMs(input) ?? null
    ),
    reach: trpc.procedure.input(parseInstances).mutation(({ input }) =>
      Effect.runPromise(operations.findReaches(input))
    ),
  });
}

type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Creates an HTTP handler for the RPC procedures. */
export function createPeerHandler(
  operations: CoordinationOperations,
): RequestListener {
  return createHTTPHandler({ router: createPeerRouter(operations) });
}

/** Calls to other processes. */
export interface PeerCalls {
  /** Sends a report to the leader or a relay. */
  report(
    address: string,
    report: PeerReport,
  ): Effect.Effect<ReportReply, PeerUnresponsive>;
  /**
   * Age of the newest status that another process has of the leader of `term`;
   * null if none.
   */
  heardLead(
    address: string,
    term: number,
  ): Effect.Effect<number | null, PeerUnresponsive>;
  /**
   * Asks another process whether it reaches instances. Earlier versions can't
   * tell, which counts as no reply.
   */
  reach(
    address: string,
    instances: readonly InstanceAddress[],
  ): Effect.Effect<Reaches, PeerUnresponsive>;
}

/**
 * Calls to other processes over tRPC. Open connections may go silent all at
 * once, so none to an address is used again after a call without a reply.
 */
export class PeerClient implements PeerCalls {
  readonly #connections = new PooledFetch();
  readonly #clients = new Map<string, TRPCClient<PeerRouter>>();

  report(
    address: string,
    report: PeerReport,
  ): Effect.Effect<ReportReply, PeerUnresponsive> {
    return this.#call({
      address,
      timeoutMs: report.holdMs + REPLY_TIMEOUT_MS,
      run: (client, signal) => client.report.mutate(report, { signal }),
    });
  }

  heardLead(
    address: string,
    term: number,
  ): Effect.Effect<number | null, PeerUnresponsive> {
    return this.#call({
      address,
      timeoutMs: REPLY_TIMEOUT_MS,
      run: (client, signal) => client.heardLead.query(term, { signal }),
    });
  }

  reach(
    address: string,
    instances: readonly InstanceAddress[],
  ): Effect.Effect<Reaches, PeerUnresponsive> {
    return this.#call({
      address,
      timeoutMs: REPLY_TIMEOUT_MS,
      run: (client, signal) => client.reach.mutate([...instances], { signal }),
    });
  }

  #call<Value>(
    { address, timeoutMs, run }: PeerRequest<Value>,
  ): Effect.Effect<Value, PeerUnresponsive> {
    return Effect.tryPromise({
      try: (signal) => run(this.#clientOf(address), signal),
      catch: (cause) =>
        new PeerUnresponsive({
          isRefused: findErrorCode(cause) === "ECONNREFUSED",
          message: `${address} did not reply: ${
            (cause as Error).message
          }; check that its process runs`,
        }),
    }).pipe(
      Effect.timeoutOrElse({
        duration: timeoutMs,
        orElse: () =>
          Effect.fail(
            new PeerUnresponsive({
              isRefused: false,
              message: `${address} did not reply within ${timeoutMs} ms`,
            }),
          ),
      }),
      Effect.tapError(() =>
        Effect.sync(() => this.#connections.discard(address))
      ),
    );
  }

  #clientOf(address: string): TRPCClient<PeerRouter> {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = createTRPCClient<PeerRouter>({
        links: [httpLink({
          url: `http://${address}`,
          fetch: (url, init) =>
            this.#connections.fetch(String(url), init as PooledRequest),
        })],
      });
      this.#clients.set(address, client);
    }
    return client;
  }
}

interface PeerRequest<Value> {
  readonly address: string;
  readonly timeoutMs: number;
  readonly run: (
    client: TRPCClient<PeerRouter>,
    signal: AbortSignal,
  ) => Promise<Value>;
}

/** Finds the system error code in an error's chain of causes. */
function findErrorCode(error: unknown): string | undefined {
  let cause = error as NodeJS.ErrnoException | undefined;
  while (cause instanceof Error && cause.code === undefined) {
    cause = cause.cause as NodeJS.ErrnoException | undefined;
  }
  return typeof cause?.code === "string" ? cause.code : undefined;
}

/** Instances that one call may ask for. */
const MAX_ASKED = 64;

function parseInstances(input: unknown): readonly InstanceAddress[] {
  const isValid = Array.isArray(input) && input.length <= MAX_ASKED &&
    input.every((instance: Partial<InstanceAddress> | null) =>
      typeof instance?.id === "string" && typeof instance.address === "string"
    );
  if (isValid) return input;
  throw new Error("Malformed instances; run one version on all machines");
}

function parseTerm(input: unknown): number {
  if (Number.isSafeInteger(input)) return input as number;
  throw new Error("Malformed term; run one version on all machines");
}
