import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { Data, Effect } from "effect";
import type { RequestListener } from "node:http";
import { ANSWER_TIMEOUT_MS } from "./intervals.ts";
import {
  type LeadAnswer,
  parseReport,
  type PeerReport,
} from "./peer_messages.ts";

/** What other processes may ask of this one. */
export interface LeadOperations {
  /** Takes a report, and answers once there is updates or its time is over. */
  readonly report: (report: PeerReport) => Effect.Effect<LeadAnswer>;
  /** Age of the newest status that this process had of the lead of a term. */
  readonly heardLeadAgoMs: (term: number) => number | undefined;
}

/** Another process does not answer. */
export class PeerUnresponsive extends Data.TaggedError("PeerSilent")<{
  readonly message: string;
  /** Whether its address refused the connection. */
  readonly isRefused: boolean;
}> {}

const trpc = initTRPC.create();

/** Procedures between the processes of this system. */
export function createPeerRouter(operations: LeadOperations) {
  return trpc.router({
    report: trpc.procedure.input(parseReport).mutation(({ input }) =>
      Effect.runPromise(operations.report(input))
    ),
    heardLead: trpc.procedure.input(parseTerm).query(({ input }) =>
      operations.heardLeadAgoMs(input) ?? null
    ),
  });
}

type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Serves the procedures over HTTP. */
export function createPeerHandler(operations: LeadOperations): RequestListener {
  return createHTTPHandler({ router: createPeerRouter(operations) });
}

/** Calls to other processes. */
export interface PeerCalls {
  /** Reports to the lead or a relay. */
  report(
    address: string,
    report: PeerReport,
  ): Effect.Effect<LeadAnswer, PeerUnresponsive>;
  /** Age of the newest status that another process had of the lead of a term. */
  heardLead(
    address: string,
    term: number,
  ): Effect.Effect<number | null, PeerUnresponsive>;
}

/** Calls to other processes over trpc. */
export class PeerClient implements PeerCalls {
  readonly #clients = new Map<string, TRPCClient<PeerRouter>>();

  report(
    address: string,
    report: PeerReport,
  ): Effect.Effect<LeadAnswer, PeerUnresponsive> {
    return this.#call({
      address,
      timeoutMs: report.holdMs + ANSWER_TIMEOUT_MS,
      run: (client, signal) => client.report.mutate(report, { signal }),
    });
  }

  heardLead(
    address: string,
    term: number,
  ): Effect.Effect<number | null, PeerUnresponsive> {
    return this.#call({
      address,
      timeoutMs: ANSWER_TIMEOUT_MS,
      run: (client, signal) => client.heardLead.query(term, { signal }),
    });
  }

  #call<Value>(
    { address, timeoutMs, run }: PeerCall<Value>,
  ): Effect.Effect<Value, PeerUnresponsive> {
    return Effect.tryPromise({
      try: (signal) => run(this.#clientOf(address), signal),
      catch: (cause) =>
        new PeerUnresponsive({
          isRefused: findErrorCode(cause) === "ECONNREFUSED",
          message: `${address} does not answer: ${
            (cause as Error).message
          }; check that it is up`,
        }),
    }).pipe(
      Effect.timeoutOrElse({
        duration: timeoutMs,
        orElse: () =>
          Effect.fail(
            new PeerUnresponsive({
              isRefused: false,
              message: `${address} does not answer within ${timeoutMs} ms`,
            }),
          ),
      }),
    );
  }

  #clientOf(address: string): TRPCClient<PeerRouter> {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = createTRPCClient<PeerRouter>({
        links: [httpLink({ url: `http://${address}` })],
      });
      this.#clients.set(address, client);
    }
    return client;
  }
}

interface PeerCall<Value> {
  readonly address: string;
  readonly timeoutMs: number;
  readonly run: (
    client: TRPCClient<PeerRouter>,
    signal: AbortSignal,
  ) => Promise<Value>;
}

/** The code of the system error behind an error. */
function findErrorCode(error: unknown): string | undefined {
  let cause = error as NodeJS.ErrnoException | undefined;
  while (cause instanceof Error && cause.code === undefined) {
    cause = cause.cause as NodeJS.ErrnoException | undefined;
  }
  return typeof cause?.code === "string" ? cause.code : undefined;
}

function parseTerm(input: unknown): number {
  if (Number.isSafeInteger(input)) return input as number;
  throw new Error("Malformed term; run one version on all machines");
}
