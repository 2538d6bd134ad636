import type {
  AdmissionEnd,
  AdmissionQueueOptions,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionTicket,
} from "./admission_ticket.ts";
import { CompletionStats } from "./completion_stats.ts";
import { ConcurrencyLimit, type LocalDemand } from "./concurrency_limit.ts";
import { computeRetryAfterMs } from "./retry_after.ts";
import { TenantShares, type TenantUsage } from "./tenant_shares.ts";
import {
  canMeetTarget,
  compareWaiting,
  latestStartMs,
} from "./waiting_order.ts";

/**
 * Time without a start, an end or a load report after which one more request
 * is sent, so that a lost signal can't leave replicas idle.
 */
const PROBE_INTERVAL_MS = 500;
/**
 * Factor on the limit for requests that can be on time. They overtake late
 * ones in the queues of the instances, where a slot is free sooner than here.
 */
const ON_TIME_LIMIT_FACTOR = 1.25;
/** At most one in this number of requests sent is an urgent late one. */
const STARTS_PER_LATE_START = 10;
/** Time since the last late start after which an urgent late one may follow. */
const LATE_START_INTERVAL_MS = 1_000;
/** Time before its latest start in which a late request counts as urgent. */
const URGENT_WINDOW_MS = 300;

/** Requests of a process for one model, in progress and waiting. */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;
  readonly #limit = new ConcurrencyLimit();
  readonly #stats = new CompletionStats();
  readonly #usage = new Map<string, TenantUsage>();
  readonly #waiting = new Set<AdmissionTicket>();
  #inProgress = 0;
  #lastSignalAtMs = Number.NEGATIVE_INFINITY;
  #lastLateStartAtMs = Number.NEGATIVE_INFINITY;
  #startsSinceLateStart = 0;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
  }

  get demand(): LocalDemand {
    return { inProgress: this.#inProgress, waiting: this.#waiting.size };
  }

  limitAt(nowMs: number): number {
    return this.#limit.valueAt(nowMs);
  }

  isLimited(nowMs: number): boolean {
    return this.#limit.isActive(nowMs);
  }

  /** Starts a request without queueing. */
  startImmediately(request: AdmissionRequest, nowMs: number): AdmissionTicket {
    const ticket = createTicket(request, nowMs);
    this.#start(ticket, nowMs);
    return ticket;
  }

  /** Starts or queues a request, or refuses it if it can't be sent in time. */
  offer(request: AdmissionRequest, nowMs: number): AdmissionTicket {
    const ticket = createTicket(request, nowMs);
    const { typicalTimes } = this.#stats;
    const isOnTime = canMeetTarget(request, typicalTimes, nowMs);
    if (this.#waiting.size === 0 && this.#mayStart(isOnTime, nowMs)) {
      this.#start(ticket, nowMs);
      return ticket;
    }
    const expectedStartMs = this.#expectedStartMs(ticket, nowMs);
    if (nowMs + expectedStartMs > latestStartMs(request, typicalTimes)) {
      this.#refuse(ticket, { reason: "no-time", expectedStartMs, nowMs });
      return ticket;
    }
    this.#waiting.add(ticket);
    this.#usageOf(request.tenant).waiting += 1;
    return ticket;
  }

  /** Ends a request in any state. */
  end(ticket: AdmissionTicket, end: AdmissionEnd, nowMs: number): void {
    const { state, startedAtMs } = ticket;
    ticket.state = "ended";
    if (state === "waiting") this.#removeWaiting(ticket);
    if (state !== "started") return;
    this.#lastSignalAtMs = nowMs;
    this.#inProgress -= 1;
    this.#usageOf(ticket.request.tenant).inProgress -= 1;
    this.#removeIdleTenant(ticket.request.tenant);
    if (!end.isServed) return;
    this.#stats.record({
      startedAtMs: startedAtMs!,
      ...(end.firstByteAtMs === undefined
        ? {}
        : { firstByteAtMs: end.firstByteAtMs }),
      endedAtMs: nowMs,
      isLate: ticket.isLate ?? false,
    });
  }

  /** Handles a report of waiting requests or of a rejection at a head. */
  noteCongestion(nowMs: number): void {
    this.#lastSignalAtMs = nowMs;
    this.#limit.noteCongestion(this.demand, nowMs);
  }

  /** Handles a report of free slots, as a fraction of a head's slots. */
  noteFreeSlots(freeFraction: number, nowMs: number): void {
    this.#lastSignalAtMs = nowMs;
    this.#limit.noteFreeSlots(freeFraction, this.demand, nowMs);
  }

  /** Refuses expired requests and starts due ones; returns all of these. */
  advance(nowMs: number): readonly AdmissionTicket[] {
    const settled: AdmissionTicket[] = [];
    const { typicalTimes } = this.#stats;
    for (const ticket of this.#waiting) {
      if (nowMs <= latestStartMs(ticket.request, typicalTimes)) continue;
      this.#removeWaiting(ticket);
      this.#refuse(ticket, { reason: "time-over", expectedStartMs: 0, nowMs });
      settled.push(ticket);
    }
    // Selects a request only if one that can be on time may start.
    while (this.#waiting.size > 0 && this.#mayStart(true, nowMs)) {
      const next = this.#pickNext(nowMs);
      const isOnTime = canMeetTarget(next.request, typicalTimes, nowMs);
      if (!this.#mayStart(isOnTime, nowMs)) break;
      this.#removeWaiting(next);
      this.#start(next, nowMs);
      settled.push(next);
    }
    return settled;
  }

  #mayStart(isOnTime: boolean, nowMs: number): boolean {
    const limit = this.#limit.valueAt(nowMs) *
      (isOnTime ? ON_TIME_LIMIT_FACTOR : 1);
    // Equivalent to rounding the limit to the nearest integer.
    if (this.#inProgress + 0.5 <= limit) return true;
    const occupancy = this.#options.headOccupancy(nowMs);
    // Without heads waiting is useless; target selection tells the caller so.
    if (occupancy === "no-heads") return true;
    if (this.#inProgress <= 1 && occupancy === "all-free") return true;
    return nowMs - this.#lastSignalAtMs >= PROBE_INTERVAL_MS;
  }

  #pickNext(nowMs: number): AdmissionTicket {
    const shares = this.#createShares();
    const isBefore = this.#createOrder(shares, nowMs);
    const lateTicket = this.#pickUrgentLate(shares, nowMs);
    if (lateTicket !== undefined) return lateTicket;
    return [...this.#waiting].reduce((best, ticket) =>
      isBefore(ticket, best) ? ticket : best
    );
  }

  /** A late request near its latest start, if one may be sent now. */
  #pickUrgentLate(
    shares: TenantShares,
    nowMs: number,
  ): AdmissionTicket | undefined {
    const isLateTurn =
      this.#startsSinceLateStart >= STARTS_PER_LATE_START - 1 &&
      nowMs - this.#lastLateStartAtMs >= LATE_START_INTERVAL_MS;
    if (!isLateTurn) return undefined;
    const { typicalTimes } = this.#stats;
    const latestMs = ({ request }: AdmissionTicket) =>
      latestStartMs(request, typicalTimes);
    const excessOf = ({ request }: AdmissionTicket) =>
      shares.excessRatioOf(request.tenant);
    return [...this.#waiting]
      .filter((ticket) =>
        !canMeetTarget(ticket.request, typicalTimes, nowMs) &&
        latestMs(ticket) - nowMs <= URGENT_WINDOW_MS
      )
      .sort((a, b) =>
        excessOf(a) - excessOf(b) || latestMs(a) - latestMs(b)
      )[0];
  }

  #createShares(): TenantShares {
    return new TenantShares({
      totals: this.#options.tenantTotals(),
      usage: this.#usage,
    });
  }

  #createOrder(
    shares: TenantShares,
    nowMs: number,
  ): (a: AdmissionTicket, b: AdmissionTicket) => boolean {
    const { typicalTimes } = this.#stats;
    return ({ request: a }, { request: b }) => {
      const excess = shares.excessRatioOf(a.tenant) -
        shares.excessRatioOf(b.tenant);
      if (excess !== 0) return excess < 0;
      const isOnTime = canMeetTarget(a, typicalTimes, nowMs);
      if (isOnTime !== canMeetTarget(b, typicalTimes, nowMs)) return isOnTime;
      const isWithin = shares.isWithinShare(a.tenant);
      if (isWithin !== shares.isWithinShare(b.tenant)) return isWithin;
      return compareWaiting(a, b, { typicalTimes, nowMs }) < 0;
    };
  }

  #expectedStartMs(ticket: AdmissionTicket, nowMs: number): number {
    const isBefore = this.#createOrder(this.#createShares(), nowMs);
    let aheadCount = 0;
    for (const other of this.#waiting) {
      if (!isBefore(ticket, other)) aheadCount += 1;
    }
    return (aheadCount + 1) *
      this.#stats.completionIntervalMs(this.#inProgress, nowMs);
  }

  #start(ticket: AdmissionTicket, nowMs: number): void {
    ticket.state = "started";
    ticket.startedAtMs = nowMs;
    this.#inProgress += 1;
    this.#usageOf(ticket.request.tenant).inProgress += 1;
    this.#lastSignalAtMs = nowMs;
    ticket.isLate = !canMeetTarget(
      ticket.request,
      this.#stats.typicalTimes,
      nowMs,
    );
    if (!ticket.isLate) {
      this.#startsSinceLateStart += 1;
    } else {
      this.#startsSinceLateStart = 0;
      this.#lastLateStartAtMs = nowMs;
    }
  }

  #refuse(
    ticket: AdmissionTicket,
    { reason, expectedStartMs, nowMs }: {
      readonly reason: AdmissionRefusal["reason"];
      readonly expectedStartMs: number;
      readonly nowMs: number;
    },
  ): void {
    const { request } = ticket;
    const spareMs = latestStartMs(request, this.#stats.typicalTimes) - nowMs;
    ticket.state = "refused";
    ticket.refusal = {
      reason,
      retryAfterMs: computeRetryAfterMs({
        requestId: request.requestId,
        timeToCapacityMs: expectedStartMs - spareMs,
        remainingMs: request.deadlineAtMs - nowMs,
        wasRefused: request.wasRefused,
      }),
      limit: this.#limit.valueAt(nowMs),
      ...this.demand,
      expectedStartMs,
    };
  }

  #removeWaiting(ticket: AdmissionTicket): void {
    if (!this.#waiting.delete(ticket)) return;
    this.#usageOf(ticket.request.tenant).waiting -= 1;
    this.#removeIdleTenant(ticket.request.tenant);
  }

  #usageOf(tenant: string): TenantUsage {
    let usage = this.#usage.get(tenant);
    if (usage === undefined) {
      usage = { inProgress: 0, waiting: 0 };
      this.#usage.set(tenant, usage);
    }
    return usage;
  }

  #removeIdleTenant(tenant: string): void {
    const usage = this.#usage.get(tenant);
    if (usage !== undefined && usage.inProgress === 0 && usage.waiting === 0) {
      this.#usage.delete(tenant);
    }
  }
}

function createTicket(
  request: AdmissionRequest,
  nowMs: number,
): AdmissionTicket {
  return { request, offeredAtMs: nowMs, state: "waiting" };
}
