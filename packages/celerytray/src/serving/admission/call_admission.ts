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
import { replicaReturnMs } from "./return_time.ts";

/** What admission reads of a call. */
export interface AdmissionCall {
  readonly head: { readonly id: string; readonly model?: string };
  readonly service: string;
  readonly tenant?: string;
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly targetAtMs: number;
  readonly deadlineAtMs: number;
  readonly wasRefused: boolean;
}

/** The service and model that a queue is for. */
export interface QueueKey {
  readonly service: string;
  readonly model: string | undefined;
}

/** Why a call is refused. */
export type RefusalReason = AdmissionRefusal["reason"] | "no-replica";

/** Options of the admission of a process. */
export interface CallAdmissionOptions {
  /** Requests of organisations over all processes; undefined if not known. */
  readonly tenantTotals: () => Readonly<Record<string, number>> | undefined;
  /** Age of these sums; undefined if not known. */
  readonly totalsAgeMs: () => number | undefined;
  /** Time until a model without a replica has one; undefined if not known. */
  readonly timeToReplicaMs: (model: string) => number | undefined;
  /** Free slots at the heads of a model. */
  readonly headOccupancy: (model: QueueKey, nowMs: number) => HeadOccupancy;
  readonly onRefused: (call: AdmissionCall, reason: RefusalReason) => void;
}

/** What the log tells of a call's admission. */
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
  /** Completed when it is sent or refused. */
  readonly settled: Deferred.Deferred<void>;
  totalsAgeMs?: number;
}

/** Interval of checks for deadlines and lost signals while requests wait. */
const CHECK_MS = 50;

/** Admits calls to the replicas of their models. */
export class CallAdmission {
  readonly #options: CallAdmissionOptions;
  readonly #queues = new Map<string, AdmissionQueue>();
  readonly #entries = new Map<AdmissionCall, Entry>();
  readonly #byTicket = new Map<AdmissionTicket, Entry>();
  readonly #checked = new Set<AdmissionQueue>();

  constructor(options: CallAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Refuses a call whose model has no replica, where the time until it has one
   * is known; returns the time after which the caller should come back.
   */
  refuseWithoutReplica(call: AdmissionCall, nowMs: number): number | undefined {
    const { model } = call.head;
    if (model === undefined) return undefined;
    const expectedMs = this.#options.timeToReplicaMs(model);
    if (expectedMs === undefined) return undefined;
    this.#options.onRefused(call, "no-replica");
    return replicaReturnMs(expectedMs, call.deadlineAtMs - nowMs);
  }

  /** Whether a call that was not sent yet has to wait for its turn. */
  mustWait(call: AdmissionCall, nowMs: number): boolean {
    return !this.#entries.has(call) &&
      (this.#queues.get(keyOf(call))?.isInForce(nowMs) ?? false);
  }

  /** Whether a call was admitted, with or without a limit in force. */
  isAdmitted(call: AdmissionCall): boolean {
    return this.#entries.get(call)?.ticket.state === "started";
  }

  /** Whether a call could only be late when it was sent. */
  isLate(call: AdmissionCall): boolean {
    return this.#entries.get(call)?.ticket.isLate ?? false;
  }

  /** Waits for the call's turn; returns why it is refused, if it is. */
  awaitTurn(call: AdmissionCall): Effect.Effect<AdmissionRefusal | undefined> {
    return Effect.gen({ self: this }, function* () {
      const nowMs = yield* steadyMs;
      const queue = this.#queueOf(call);
      const ticket = queue.offer(createRequest(call), nowMs);
      const entry = this.#addEntry(call, queue, ticket);
      if (ticket.state === "waiting") {
        this.#settle(queue, nowMs);
        yield* this.#keepChecking(queue);
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

  /** Takes note that a call is sent; once for all of its attempts. */
  noteStarted(call: AdmissionCall, nowMs: number): void {
    if (this.#entries.has(call)) return;
    const queue = this.#queueOf(call);
    this.#addEntry(call, queue, queue.startAtOnce(createRequest(call), nowMs));
  }

  /** Takes note of the load that an answer's head tells of. */
  noteResponseHeaders(
    call: AdmissionCall,
    head: ResponseHeaders,
    nowMs: number,
  ): void {
    const queue = this.#entries.get(call)?.queue;
    if (queue === undefined) return;
    const { load } = head;
    if (isCongested(head)) {
      queue.noteCongested(nowMs);
    } else if (load !== undefined && load.running < load.slots) {
      queue.noteFree((load.slots - load.running) / load.slots, nowMs);
    }
    this.#settle(queue, nowMs);
  }

  /** What the log tells of a call that is not over yet. */
  describe(call: AdmissionCall, nowMs: number): AdmissionRecord | undefined {
    const entry = this.#entries.get(call);
    return entry === undefined ? undefined : describeEntry(entry, nowMs);
  }

  /** Takes note that a call is over, or that its caller left. */
  end(call: AdmissionCall, end: AdmissionEnd, nowMs: number): void {
    const entry = this.#entries.get(call);
    if (entry === undefined) return;
    const { queue, ticket } = entry;
    this.#entries.delete(call);
    this.#byTicket.delete(ticket);
    queue.end(ticket, end, nowMs);
    this.#settle(queue, nowMs);
  }

  /** Requests that wait in the queues of all models. */
  get waiting(): number {
    let waiting = 0;
    for (const queue of this.#queues.values()) waiting += queue.demand.waiting;
    return waiting;
  }

  #settle(queue: AdmissionQueue, nowMs: number): void {
    for (const ticket of queue.advance(nowMs)) {
      const entry = this.#byTicket.get(ticket);
      if (entry === undefined) continue;
      Deferred.doneUnsafe(entry.settled, Effect.void);
    }
  }

  /** One loop for each queue, only while requests wait in it. */
  #keepChecking(queue: AdmissionQueue): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (this.#checked.has(queue)) return;
      this.#checked.add(queue);
      const clock = yield* Clock.Clock;
      const check = Effect.gen({ self: this }, function* () {
        while (queue.demand.waiting > 0) {
          yield* Effect.sleep(CHECK_MS);
          this.#settle(queue, readSteadyMs(clock));
        }
      });
      yield* Effect.forkDetach(
        check.pipe(
          Effect.ensuring(Effect.sync(() => this.#checked.delete(queue))),
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
    this.#byTicket.set(ticket, entry);
    return entry;
  }

  #queueOf(call: AdmissionCall): AdmissionQueue {
    const key = keyOf(call);
    let queue = this.#queues.get(key);
    if (queue === undefined) {
      const { tenantTotals, headOccupancy: headRoom } = this.#options;
      const { service, head: { model } } = call;
      queue = new AdmissionQueue({
        tenantTotals,
        headOccupancy: (nowMs) => headRoom({ service, model }, nowMs),
      });
      this.#queues.set(key, queue);
    }
    return queue;
  }
}

/** Whether requests wait at the head, or it rejected this one as it is full. */
function isCongested(head: ResponseHeaders): boolean {
  const { load } = head;
  if (load !== undefined && load.waiting > 0) return true;
  const isRejection = head.isNotRun && head.status === REJECTED_STATUS &&
    !head.isLeaving && head.backoffMs === undefined;
  return isRejection && (load === undefined || load.running >= load.slots);
}

const REJECTED_STATUS = 503;

function createRequest(call: AdmissionCall): AdmissionRequest {
  return {
    requestId: call.head.id,
    tenant: call.tenant ?? "",
    priority: call.priority,
    targetAtMs: call.targetAtMs,
    deadlineAtMs: call.deadlineAtMs,
    wasRefused: call.wasRefused,
    arrivedAtMs: call.arrivedAtMs,
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

function keyOf({ service, head }: AdmissionCall): string {
  return `${service} ${head.model ?? ""}`;
}
