import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { Data, Effect } from "effect";
import type { RequestListener } from "node:http";
import type { LeavingLife } from "../groups/index.ts";
import type { RelayedChange } from "../keyed_log/index.ts";
import type { WindowTotals } from "../serving/index.ts";

/** What a process tells the one that decides on replicas. */
export interface PeerReport {
  readonly nodeId: string;
  /** IP:PORT for other processes. */
  readonly peerAddress: string;
  /** Term of the newest lead that it knows. */
  readonly term: number;
  /** Heads at which its requests stand still. */
  readonly stalledHeads: readonly string[];
  /** Heads of replicas that it finds slow. */
  readonly slowHeads: readonly string[];
  /** Requests in progress, by model. */
  readonly demand: Readonly<Record<string, number>>;
  /** Requests and repeats of its window, by service. */
  readonly repeats: Readonly<Record<string, WindowTotals>>;
  /** Whether it has had requests. */
  readonly hasTraffic: boolean;
  /** Offset up to which it knows the list of instances. */
  readonly instancesOffset: number;
  /** Instances that said that they leave, though the list has them as ready. */
  readonly leaving: readonly LeavingLife[];
}

/** What the process that decides on replicas answers. */
export interface LeadAnswer {
  readonly isLeading: boolean;
  readonly term: number;
  /** Time since the store last answered it. */
  readonly storeAgeMs: number;
  /** Processes that it hears of. */
  readonly nodes: readonly PeerNode[];
  /** Requests and repeats of all processes it hears of, by service. */
  readonly repeats: Readonly<Record<string, WindowTotals>>;
  /** Heads to which no requests should go. */
  readonly closedHeads: readonly string[];
  /** How far it knows the configuration, and how surely that is the end. */
  readonly config: {
    readonly nextOffset: number;
    /** Time since it was the end; null where that isn't known. */
    readonly proofAgeMs: number | null;
  };
  /** Changes of the list of instances. */
  readonly instances: RelayedChange;
  /** Instances that said that they leave, though the list has them as ready. */
  readonly leaving: readonly LeavingLife[];
}

/** A process of this system. */
export interface PeerNode {
  readonly nodeId: string;
  /** IP:PORT for other processes. */
  readonly peerAddress: string;
}

/** What other processes may ask of this one. */
export interface LeadOperations {
  readonly report: (report: PeerReport) => LeadAnswer;
  /** Time since this process last had an answer of the lead of a term. */
  readonly heardLeadAgoMs: (term: number) => number | undefined;
}

/** Another process does not answer. */
export class PeerSilent extends Data.TaggedError("PeerSilent")<{
  readonly message: string;
  /** Whether its address refused the connection. */
  readonly isRefused: boolean;
}> {}

const trpc = initTRPC.create();

/** Procedures between the processes of this system. */
export function createPeerRouter(operations: LeadOperations) {
  return trpc.router({
    report: trpc.procedure.input(parseReport).mutation(({ input }) =>
      operations.report(input)
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
  /** Reports to the process that decides on replicas. */
  report(
    address: string,
    report: PeerReport,
  ): Effect.Effect<LeadAnswer, PeerSilent>;
  /** Time since another process heard the lead of a term. */
  heardLead(
    address: string,
    term: number,
  ): Effect.Effect<number | null, PeerSilent>;
}

/** Calls to other processes over trpc. */
export class PeerClient implements PeerCalls {
  readonly #clients = new Map<string, TRPCClient<PeerRouter>>();
  readonly #timeoutMs: number;

  constructor(options: { readonly timeoutMs: number }) {
    this.#timeoutMs = options.timeoutMs;
  }

  report(
    address: string,
    report: PeerReport,
  ): Effect.Effect<LeadAnswer, PeerSilent> {
    return this.#call(
      address,
      (client, signal) => client.report.mutate(report, { signal }),
    );
  }

  heardLead(
    address: string,
    term: number,
  ): Effect.Effect<number | null, PeerSilent> {
    return this.#call(
      address,
      (client, signal) => client.heardLead.query(term, { signal }),
    );
  }

  #call<Value>(
    address: string,
    run: (
      client: TRPCClient<PeerRouter>,
      signal: AbortSignal,
    ) => Promise<Value>,
  ): Effect.Effect<Value, PeerSilent> {
    return Effect.tryPromise({
      try: (signal) => run(this.#clientOf(address), signal),
      catch: (cause) =>
        new PeerSilent({
          isRefused: findErrorCode(cause) === "ECONNREFUSED",
          message: `${address} does not answer: ${
            (cause as Error).message
          }; check that it is up`,
        }),
    }).pipe(
      Effect.timeoutOrElse({
        duration: this.#timeoutMs,
        orElse: () =>
          Effect.fail(
            new PeerSilent({
              isRefused: false,
              message:
                `${address} does not answer within ${this.#timeoutMs} ms`,
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

/** The code of the system error behind an error. */
function findErrorCode(error: unknown): string | undefined {
  let cause = error as NodeJS.ErrnoException | undefined;
  while (cause instanceof Error && cause.code === undefined) {
    cause = cause.cause as NodeJS.ErrnoException | undefined;
  }
  return typeof cause?.code === "string" ? cause.code : undefined;
}

function parseReport(input: unknown): PeerReport {
  const report = input as Partial<PeerReport> | null;
  const isValid = typeof report === "object" && report !== null &&
    typeof report.nodeId === "string" &&
    typeof report.peerAddress === "string" &&
    Number.isSafeInteger(report.term) &&
    Number.isSafeInteger(report.instancesOffset) &&
    Array.isArray(report.stalledHeads) &&
    Array.isArray(report.slowHeads) &&
    Array.isArray(report.leaving) &&
    typeof report.demand === "object" &&
    typeof report.repeats === "object" &&
    typeof report.hasTraffic === "boolean";
  if (isValid) return report as PeerReport;
  throw new Error("Malformed report; run one version on all machines");
}

function parseTerm(input: unknown): number {
  if (Number.isSafeInteger(input)) return input as number;
  throw new Error("Malformed term; run one version on all machines");
}
