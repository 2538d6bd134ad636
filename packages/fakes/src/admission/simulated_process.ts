import {
  AdmissionQueue,
  chooseTarget,
  LoadTracker,
  type ServingTarget,
} from "celerytray";
import type { SimulatedHead, SimulatedWork } from "./simulated_head.ts";

type AdmissionRequest = Parameters<AdmissionQueue["offer"]>[0];
type AdmissionTicket = ReturnType<AdmissionQueue["offer"]>;

/** A request of a simulated caller. */
export interface SimulatedRequest extends AdmissionRequest {
  readonly tokens: number;
  readonly targetMs: number;
  firstTokenAtMs?: number;
  /** Whether it was answered before its deadline. */
  isDone: boolean;
  readonly onRefused: (retryAfterMs: number, nowMs: number) => void;
}

/** Dependencies of a simulated process. */
export interface SimulatedProcessOptions {
  readonly heads: readonly SimulatedHead[];
  readonly random: () => number;
  readonly tenantTotals: () => Readonly<Record<string, number>> | undefined;
}

interface HeldRequest {
  readonly request: SimulatedRequest;
  /** When it was first held. */
  readonly sinceMs: number;
}

/** Same values as in find_target.ts and attempt_progress.ts. */
const HOLD_FRACTION_OF_TARGET = 0.125;
const FULL_RETRY_MS = 1_200;
const REJECTED_RETRY_MS = 400;
const AVOID_FULL_MS = 150;
/** In production, the retry budget bounds the attempts. */
const MAX_REJECTIONS = 4;
const LATE_PRIORITY_OFFSET = 3;

/** A simulated process with the production queue, loads and choice of heads. */
export class SimulatedProcess {
  readonly queue: AdmissionQueue;
  readonly #options: SimulatedProcessOptions;
  readonly #loads = new LoadTracker();
  readonly #targets: readonly ServingTarget[];
  readonly #ticketByRequest = new Map<SimulatedRequest, AdmissionTicket>();
  readonly #requestByTicket = new Map<AdmissionTicket, SimulatedRequest>();
  readonly #workByRequest = new Map<SimulatedRequest, SimulatedWork>();
  readonly #headIdByRequest = new Map<SimulatedRequest, string>();
  #held: HeldRequest[] = [];

  constructor(options: SimulatedProcessOptions) {
    this.#options = options;
    this.#targets = options.heads.map(({ slots }, index) => ({
      instanceId: String(index),
      address: "",
      zone: "z",
      slots,
      epoch: 0,
    }));
    this.queue = new AdmissionQueue({
      tenantTotals: options.tenantTotals,
      headOccupancy: (nowMs) =>
        this.#listTargets().some((target) => this.#isFull(target, nowMs))
          ? "some-full"
          : "all-free",
    });
  }

  get waiting(): number {
    return this.queue.demand.waiting + this.#held.length;
  }

  /** Organisation of each request that has not ended. */
  listTenants(): readonly string[] {
    return [...this.#ticketByRequest.keys()].map(({ tenant }) => tenant);
  }

  offer(request: SimulatedRequest, nowMs: number, sinceMs = nowMs): void {
    if (this.queue.isLimited(nowMs)) {
      const ticket = this.queue.offer(request, nowMs);
      this.#track(request, ticket);
      this.#settle(ticket, nowMs);
      return;
    }
    const target = this.#choose(new Set(), nowMs);
    const isFull = target === undefined ||
      this.#loads.estimateUpperBound(target.instanceId, nowMs) >= target.slots;
    if (!isFull) {
      this.#track(request, this.queue.startImmediately(request, nowMs));
      this.#send(request, nowMs);
    } else if (nowMs - sinceMs < request.targetMs * HOLD_FRACTION_OF_TARGET) {
      this.#held.push({ request, sinceMs });
    } else request.onRefused(FULL_RETRY_MS, nowMs);
  }

  /** Ends a request whose caller has left. */
  abandon(request: SimulatedRequest, nowMs: number): void {
    const work = this.#workByRequest.get(request);
    if (work !== undefined) work.isAbandoned = true;
    this.#held = this.#held.filter((held) => held.request !== request);
    this.#end(request, false, nowMs);
  }

  advance(nowMs: number): void {
    const due = this.#held;
    this.#held = [];
    for (const { request, sinceMs } of due) this.offer(request, nowMs, sinceMs);
    for (const ticket of this.queue.advance(nowMs)) this.#settle(ticket, nowMs);
  }

  #settle(ticket: AdmissionTicket, nowMs: number): void {
    const request = this.#requestByTicket.get(ticket)!;
    if (ticket.state === "started") this.#send(request, nowMs);
    if (ticket.state !== "refused") return;
    this.#end(request, false, nowMs);
    request.onRefused(ticket.refusal!.retryAfterMs, nowMs);
  }

  #send(request: SimulatedRequest, nowMs: number): void {
    const triedIds = new Set<string>();
    const isLate = this.#ticketByRequest.get(request)?.isLate ?? false;
    while (triedIds.size < MAX_REJECTIONS) {
      const target = this.#choose(triedIds, nowMs);
      if (target === undefined) break;
      const id = target.instanceId;
      const head = this.#options.heads[Number(id)]!;
      const work: SimulatedWork = {
        tokens: request.tokens,
        priority: request.priority + (isLate ? LATE_PRIORITY_OFFSET : 0),
        isAbandoned: false,
        onFirstToken: (atMs) => {
          this.#loads.noteLoad(id, head.load, atMs);
          if (head.load.waiting > 0) this.queue.noteCongestion(atMs);
          else if (head.load.running < head.slots) {
            const free = head.slots - head.load.running;
            this.queue.noteFreeSlots(free / head.slots, atMs);
          }
          request.firstTokenAtMs = atMs;
        },
        onDone: (atMs) => {
          request.isDone = atMs <= request.deadlineAtMs;
          this.#end(request, true, atMs);
        },
      };
      if (head.tryAccept(work)) {
        this.#workByRequest.set(request, work);
        this.#loads.noteSent(id);
        this.#headIdByRequest.set(request, id);
        return;
      }
      triedIds.add(id);
      this.#loads.noteLoad(id, head.load, nowMs);
      this.#loads.avoidUntil(id, nowMs + AVOID_FULL_MS);
      this.queue.noteCongestion(nowMs);
    }
    this.#end(request, false, nowMs);
    request.onRefused(REJECTED_RETRY_MS, nowMs);
  }

  #end(request: SimulatedRequest, isServed: boolean, nowMs: number): void {
    const id = this.#headIdByRequest.get(request);
    if (id !== undefined) this.#loads.noteEnded(id);
    const ticket = this.#ticketByRequest.get(request);
    this.#headIdByRequest.delete(request);
    this.#workByRequest.delete(request);
    this.#ticketByRequest.delete(request);
    if (ticket === undefined) return;
    this.#requestByTicket.delete(ticket);
    this.queue.end(ticket, {
      isServed,
      ...(request.firstTokenAtMs === undefined
        ? {}
        : { firstByteAtMs: request.firstTokenAtMs }),
    }, nowMs);
  }

  #track(request: SimulatedRequest, ticket: AdmissionTicket): void {
    this.#ticketByRequest.set(request, ticket);
    this.#requestByTicket.set(ticket, request);
  }

  #choose(tried: ReadonlySet<string>, nowMs: number) {
    return chooseTarget({
      targets: this.#listTargets(),
      loads: this.#loads,
      zone: "z",
      hasConnection: () => true,
      readDelayMs: () => 0,
      targetMs: 1,
      maySend: () => true,
      isBackingOff: () => false,
      isSilent: () => false,
      isSlow: () => false,
      hasSuspect: () => false,
      isTried: ({ instanceId }) => tried.has(instanceId),
      nowMs,
      random: this.#options.random,
    });
  }

  #listTargets(): readonly ServingTarget[] {
    return this.#targets.filter((_, index) =>
      !this.#options.heads[index]!.isDown
    );
  }

  #isFull({ instanceId, slots }: ServingTarget, nowMs: number): boolean {
    return this.#loads.estimate(instanceId, nowMs) >= slots;
  }
}
