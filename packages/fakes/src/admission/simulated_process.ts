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

/** What a simulated process is made of. */
export interface SimulatedProcessOptions {
  readonly heads: readonly SimulatedHead[];
  readonly random: () => number;
  readonly tenantTotals: () => Readonly<Record<string, number>> | undefined;
}

interface Held {
  readonly request: SimulatedRequest;
  readonly sinceMs: number;
}

/** As in find_target.ts, attempt_progress.ts. */
const HOLD_PART_OF_TARGET = 0.125;
const FULL_RETRY_MS = 1_200;
const REJECTED_RETRY_MS = 400;
const AVOID_FULL_MS = 150;
/** The budget of repeats ends it in the product. */
const MAX_REJECTIONS = 4;
const LATE_RANKS = 3;

/** A process of the product: its queue, its loads and its choice of heads. */
export class SimulatedProcess {
  readonly queue: AdmissionQueue;
  readonly #options: SimulatedProcessOptions;
  readonly #loads = new LoadTracker();
  readonly #targets: readonly ServingTarget[];
  readonly #tickets = new Map<SimulatedRequest, AdmissionTicket>();
  readonly #requests = new Map<AdmissionTicket, SimulatedRequest>();
  readonly #works = new Map<SimulatedRequest, SimulatedWork>();
  readonly #ids = new Map<SimulatedRequest, string>();
  #held: Held[] = [];

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

  /** Organisations of the requests that are not over. */
  listTenants(): readonly string[] {
    return [...this.#tickets.keys()].map(({ tenant }) => tenant);
  }

  take(request: SimulatedRequest, nowMs: number, sinceMs = nowMs): void {
    if (this.queue.isLimited(nowMs)) {
      const ticket = this.queue.offer(request, nowMs);
      this.#note(request, ticket);
      this.#settle(ticket, nowMs);
      return;
    }
    const target = this.#choose(new Set(), nowMs);
    const isFull = target === undefined ||
      this.#loads.estimateUpperBound(target.instanceId, nowMs) >= target.slots;
    if (!isFull) {
      this.#note(request, this.queue.startImmediately(request, nowMs));
      this.#send(request, nowMs);
    } else if (nowMs - sinceMs < request.targetMs * HOLD_PART_OF_TARGET) {
      this.#held.push({ request, sinceMs });
    } else request.onRefused(FULL_RETRY_MS, nowMs);
  }

  /** Ends a request whose caller left. */
  leave(request: SimulatedRequest, nowMs: number): void {
    const work = this.#works.get(request);
    if (work !== undefined) work.isLeft = true;
    this.#held = this.#held.filter((held) => held.request !== request);
    this.#end(request, false, nowMs);
  }

  advance(nowMs: number): void {
    const held = this.#held;
    this.#held = [];
    for (const { request, sinceMs } of held) this.take(request, nowMs, sinceMs);
    for (const ticket of this.queue.advance(nowMs)) this.#settle(ticket, nowMs);
  }

  #settle(ticket: AdmissionTicket, nowMs: number): void {
    const request = this.#requests.get(ticket)!;
    if (ticket.state === "started") this.#send(request, nowMs);
    if (ticket.state !== "refused") return;
    this.#end(request, false, nowMs);
    request.onRefused(ticket.refusal!.retryAfterMs, nowMs);
  }

  #send(request: SimulatedRequest, nowMs: number): void {
    const tried = new Set<string>();
    const isLate = this.#tickets.get(request)?.isLate ?? false;
    while (tried.size < MAX_REJECTIONS) {
      const target = this.#choose(tried, nowMs);
      if (target === undefined) break;
      const id = target.instanceId;
      const head = this.#options.heads[Number(id)]!;
      const work: SimulatedWork = {
        tokens: request.tokens,
        priority: request.priority + (isLate ? LATE_RANKS : 0),
        isLeft: false,
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
      if (head.accept(work)) {
        this.#works.set(request, work);
        this.#loads.noteSent(id);
        this.#ids.set(request, id);
        return;
      }
      tried.add(id);
      this.#loads.noteLoad(id, head.load, nowMs);
      this.#loads.avoidUntil(id, nowMs + AVOID_FULL_MS);
      this.queue.noteCongestion(nowMs);
    }
    this.#end(request, false, nowMs);
    request.onRefused(REJECTED_RETRY_MS, nowMs);
  }

  #end(request: SimulatedRequest, isServed: boolean, nowMs: number): void {
    const id = this.#ids.get(request);
    if (id !== undefined) this.#loads.noteEnded(id);
    const ticket = this.#tickets.get(request);
    this.#ids.delete(request);
    this.#works.delete(request);
    this.#tickets.delete(request);
    if (ticket === undefined) return;
    this.#requests.delete(ticket);
    this.queue.end(ticket, {
      isServed,
      ...(request.firstTokenAtMs === undefined
        ? {}
        : { firstByteAtMs: request.firstTokenAtMs }),
    }, nowMs);
  }

  #note(request: SimulatedRequest, ticket: AdmissionTicket): void {
    this.#tickets.set(request, ticket);
    this.#requests.set(ticket, request);
  }

  #choose(tried: ReadonlySet<string>, nowMs: number) {
    return chooseTarget({
      targets: this.#listTargets(),
      loads: this.#loads,
      zone: "z",
      hasConnection: () => true,
      maySend: () => true,
      isBackingOff: () => false,
      isSilent: () => false,
      isSlow: () => false,
      tried,
      nowMs,
      random: this.#options.random,
    });
  }

  #listTargets(): readonly ServingTarget[] {
    return this.#targets.filter((_, index) =>
      !this.#options.heads[index]!.isGone
    );
  }

  #isFull({ instanceId, slots }: ServingTarget, nowMs: number): boolean {
    return this.#loads.estimate(instanceId, nowMs) >= slots;
  }
}
