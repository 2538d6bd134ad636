import { Clock, Deferred, Effect } from "effect";
import { readSteadyMs, steadyMs } from "../../clock/index.ts";
import type { ResponseHeaders } from "../call.ts";
import { AdmissionQueue } from "./admission_queue.ts";
import type {
  AdmissionEnd,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionTicket,
  HeadOccupancy,
} from "./admission_ticket.ts";
import { computeReplicaRetryAfterMs } from "./retry_after.ts";

/** Fields of a call that admission reads. */
export interface AdmissionCall {
  readonly headers: { readonly id: string; readonly model?: string };
  readonly service: string;
  readonly tenant?: string;
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly targetAtMs: number;
  readonly deadlineAtMs: number;
  readonly leavesAtMs?: number;
  readonly wasRefused: boolean;
}

/** Service and model of a queue. */
export interface QueueKey {
  readonly service: string;
  readonly model: string | undefined;
}

/** Why a call is refused. */
export type RefusalReason = AdmissionRefusal["reason"] | "no-replica";

export interface CallAdmissionOptions {
  /** Requests over all processes, by organisation; undefined if not known. */
  readonly tenantTotals: () => Readonly<Record<string, number>> | undefined;
  /** Age of `tenantTotals`; undefined if not known. */
  readonly totalsAgeMs: () => number | undefined;
  /** Time until a model without a replica gets one; undefined if not known. */
  readonly timeToReplicaMs: (model: string) => number | undefined;
  /** Occupancy of the slots at the heads of a model. */
  readonly headOccupancy: (model: QueueKey, nowMs: number) => HeadOccupancy;
  readonly onRefused: (call: AdmissionCall, reason: RefusalReason) => void;
}

/** Log fields of a call's admission. */
export interface AdmissionRecord {
  /** Time spent in the queue. */
  readonly waitedMs: number;
  readonly limit?: number;
  readonly waiting?: number;
  readonly inProgress?: number;
  readonly expectedStartMs?: number;
  readonly totalsAgeMs?: number;
}

interface Entry {
  readonly queue: AdmissionQueue;
  readonly ticket: AdmissionTicket;
  /** Completed when the call is sent or refused. */
  readonly settled: Deferred.Deferred<void>;
  totalsAgeMs?: number;
}

/** Interval of checks for expired requests and lost signals. */
const CHECK_INTERVAL_MS = 50;

/** Admission control of calls to the replicas of their models. */
export class CallAdmission {
  readonly #options: CallAdmissionOptions;
  readonly #queues = new Map<string, AdmissionQueue>();
  readonly #entries = new Map<AdmissionCall, Entry>();
  readonly #entriesByTicket = new Map<AdmissionTicket, Entry>();
  readonly #monitoredQueues = new Set<AdmissionQueue>();

  constructor(options: CallAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Refuses a call whose model has no replica if the time until it gets one is
   * known. Returns the delay after which the caller should retry.
   */
  refuseWithoutReplica(call: AdmissionCall, nowMs: number): number | undefined {
    const { model } = call.headers;
    const timeToReplicaMs = model === undefined
      ? undefined
      : this.#options.timeToReplicaMs(model);
    if (timeToReplicaMs === undefined) return undefined;
    this.#options.onRefused(call, "no-replica");
    return computeReplicaRetryAfterMs(
      timeToReplicaMs,
      call.deadlineAtMs - nowMs,
    );
  }

  /** Whether a call that was not sent yet has to queue. */
  mustWait(call: AdmissionCall, nowMs: number): boolean {
    return !this.#entries.has(call) &&
      (this.#queues.get(keyOf(call))?.isLimited(nowMs) ?? false);
  }

  /** Whether a call was admitted, with or without an active limit. */
  isAdmitted(call: AdmissionCall): boolean {
    return this.#entries.get(call)?.ticket.state === "started";
  }

  /** Whether a call could no longer be on time when it was sent. */
  isLate(call: AdmissionCall): boolean {
    return this.#entries.get(call)?.ticket.isLate ?? false;
  }

  /** Waits until the call is admitted or refused; returns any refusal. */
  awaitTurn(call: AdmissionCall): Effect.Effect<AdmissionRefusal | undefined> {
    return Effect.gen({ self: this }, function* () {
      const nowMs = yield* steadyMs;
      const queue = this.#queueOf(call);
      const ticket = queue.offer(createRequest(call), nowMs);
      const entry = this.#addEntry(call, queue, ticket);
      if (ticket.state === "waiting") {
        this.#advance(queue, nowMs);
        yield* this.#monitor(queue);
        yield* Deferred.await(entry.settled);
      }
      const { refusal } = ticket;
      if (refusal === undefined) return undefined;
      const totalsAgeMs = this.#options.totalsAgeMs();
      if (totalsAgeMs !== undefined) entry.totalsAgeMs = totalsAgeMs;
      this.#options.onRefused(call, refusal.reason);
      return refusal;
    });
  }

  /** Handles the first attempt of a call; later attempts have no effect. */
  noteStarted(call: AdmissionCall, nowMs: number): void {
    if (this.#entries.has(call)) return;
    const queue = this.#queueOf(call);
    this.#addEntry(
      call,
      queue,
      queue.startImmediately(createRequest(call), nowMs),
    );
  }

  /** Handles the load that response headers report. */
  noteResponseHeaders(
    call: AdmissionCall,
    headers: ResponseHeaders,
    nowMs: number,
  ): void {
    const queue = this.#entries.get(call)?.queue;
    if (queue === undefined) return;
    const { load } = headers;
    if (isCongested(headers)) {
      queue.noteCongestion(nowMs);
    } else if (load !== undefined && load.running < load.slots) {
      queue.noteFreeSlots((load.slots - load.running) / load.slots, nowMs);
    }
    this.#advance(queue, nowMs);
  }

  /** Log fields of a call in progress; undefined if it started at once. */
  describe(call: AdmissionCall, nowMs: number): AdmissionRecord | undefined {
    const entry = this.#entries.get(call);
    return entry === undefined ? undefined : describeEntry(entry, nowMs);
  }

  /** Handles the end of a call, also if its caller left. */
  end(call: AdmissionCall, end: AdmissionEnd, nowMs: number): void {
    const entry = this.#entries.get(call);
    if (entry === undefined) return;
    const { queue, ticket } = entry;
    this.#entries.delete(call);
    this.#entriesByTicket.delete(ticket);
    queue.end(ticket, end, nowMs);
    this.#advance(queue, nowMs);
  }

  /** Requests waiting in the queues of all models. */
  get waiting(): number {
    let waiting = 0;
    for (const queue of this.#queues.values()) waiting += queue.demand.waiting;
    return waiting;
  }

  #advance(queue: AdmissionQueue, nowMs: number): void {
    for (const ticket of queue.advance(nowMs)) {
      const entry = this.#entriesByTicket.get(ticket);
      if (entry === undefined) continue;
      Deferred.doneUnsafe(entry.settled, Effect.void);
    }
  }

  /** Runs one check loop for each queue while requests wait in it. */
  #monitor(queue: AdmissionQueue): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (this.#monitoredQueues.has(queue)) return;
      this.#monitoredQueues.add(queue);
      const clock = yield* Clock.Clock;
      const check = Effect.gen({ self: this }, function* () {
        while (queue.demand.waiting > 0) {
          yield* Effect.sleep(CHECK_INTERVAL_MS);
          this.#advance(queue, readSteadyMs(clock));
        }
      });
      yield* Effect.forkDetach(
        check.pipe(
          Effect.ensuring(
            Effect.sync(() => this.#monitoredQueues.delete(queue)),
          ),
        ),
      );
    });
  }

  #addEntry(
    call: AdmissionCall,
    queue: AdmissionQueue,
    ticket: AdmissionTicket,
  ): Entry {
    const entry = { queue, ticket, settled: Deferred.makeUnsafe<void>() };
    this.#entries.set(call, entry);
    this.#entriesByTicket.set(ticket, entry);
    return entry;
  }

  #queueOf(call: AdmissionCall): AdmissionQueue {
    const key = keyOf(call);
    let queue = this.#queues.get(key);
    if (queue === undefined) {
      const { tenantTotals, headOccupancy } = this.#options;
      const { service, headers: { model } } = call;
      queue = new AdmissionQueue({
        tenantTotals,
        headOccupancy: (nowMs) => headOccupancy({ service, model }, nowMs),
      });
      this.#queues.set(key, queue);
    }
    return queue;
  }
}

/** Whether requests wait at the head, or it is full and rejected this one. */
function isCongested(headers: ResponseHeaders): boolean {
  const { load } = headers;
  if (load !== undefined && load.waiting > 0) return true;
  const isRejection = headers.isNotRun &&
    headers.status === SERVICE_UNAVAILABLE_STATUS &&
    !headers.isLeaving && headers.backoffMs === undefined;
  return isRejection && (load === undefined || load.running >= load.slots);
}

const SERVICE_UNAVAILABLE_STATUS = 503;

function createRequest(call: AdmissionCall): AdmissionRequest {
  return {
    requestId: call.headers.id,
    tenant: call.tenant ?? "",
    priority: call.priority,
    targetAtMs: call.targetAtMs,
    deadlineAtMs: call.deadlineAtMs,
    wasRefused: call.wasRefused,
    arrivedAtMs: call.arrivedAtMs,
    ...(call.leavesAtMs === undefined ? {} : { leavesAtMs: call.leavesAtMs }),
  };
}

function describeEntry(
  { ticket, totalsAgeMs }: Entry,
  nowMs: number,
): AdmissionRecord | undefined {
  const { refusal, offeredAtMs, startedAtMs = nowMs } = ticket;
  const waitedMs = startedAtMs - offeredAtMs;
  if (refusal === undefined) return waitedMs > 0 ? { waitedMs } : undefined;
  const { limit, waiting, inProgress, expectedStartMs } = refusal;
  return {
    waitedMs,
    limit,
    waiting,
    inProgress,
    expectedStartMs,
    ...(totalsAgeMs === undefined ? {} : { totalsAgeMs }),
  };
}

function keyOf({ service, headers }: AdmissionCall): string {
  return `${service} ${headers.model ?? ""}`;
}
