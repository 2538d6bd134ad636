import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type BoundArrivals, boundValue } from "./offline_bound.ts";
import {
  type Arrival,
  groupArrivals,
  listTenantShares,
  meanOf,
  onTimePart,
  type SimulatedKind,
  sumValue,
} from "./simulated_arrivals.ts";
import { SimulatedHead, tokensIn } from "./simulated_head.ts";
import { SimulatedProcess } from "./simulated_process.ts";
import type {
  SimulatedScenario,
  SimulatedSite,
  SimulationResult,
} from "./simulated_scenario.ts";

const STEP_MS = 5;
const TENANTS = 24;
const BUDGET_MS = 4_000;
const USUAL_USE = 0.6;
const HEAD_QUEUE = 6;
const BEGIN_MS = 3_000;
export const OVERLOAD_MS = 5_000;
const END_MS = BEGIN_MS + OVERLOAD_MS;
const RECOVERY_MS = 2_000;
const DURATION_MS = END_MS + RECOVERY_MS + 3_000;
const DRAIN_MS = BUDGET_MS + 1_000;
/** Period and age of the sums over all processes. */
const SUM_PERIOD_MS = 500;
const SUM_AGE_MS = 1_500;
const WINDOW_MS = 250;
const SUBSET_PART = 0.3;

/** Runs a scenario in virtual time, against the product's decisions. */
export function simulateLoad(
  site: SimulatedSite,
  scenario: SimulatedScenario,
  seed: number,
): SimulationResult {
  return new Simulation(site, scenario, seed).run();
}

class Simulation {
  readonly #site: SimulatedSite;
  readonly #scenario: SimulatedScenario;
  readonly #random: () => number;
  readonly #heads: readonly SimulatedHead[];
  readonly #processes: readonly SimulatedProcess[];
  /** All requests; one that is tried again counts once. */
  readonly #arrivals = new Map<string, Arrival>();
  readonly #sums: Record<string, number>[] = [];
  #due: { readonly atMs: number; readonly act: (nowMs: number) => void }[] = [];
  #refused = 0;
  #needless = 0;
  #useSum = 0;
  #useSteps = 0;

  constructor(site: SimulatedSite, scenario: SimulatedScenario, seed: number) {
    this.#site = site;
    this.#scenario = scenario;
    const generator = xoroshiro128plus(seed);
    const range = 2 ** 30;
    this.#random = () => uniformInt(generator, 0, range - 1) / range;
    this.#heads = Array.from(
      { length: site.heads },
      () => new SimulatedHead(site.slots, HEAD_QUEUE),
    );
    this.#processes = Array.from(
      { length: site.processes },
      () =>
        new SimulatedProcess({
          heads: this.#pickSubset(),
          random: this.#random,
          tenantTotals: () => this.#sums.at(-1 - SUM_AGE_MS / SUM_PERIOD_MS),
        }),
    );
  }

  run(): SimulationResult {
    for (let nowMs = 0; nowMs < DURATION_MS + DRAIN_MS; nowMs += STEP_MS) {
      const isOver = nowMs >= BEGIN_MS && nowMs < END_MS;
      this.#setGone(isOver);
      if (nowMs % SUM_PERIOD_MS === 0) this.#sumUp();
      if (nowMs < DURATION_MS) this.#arrive(nowMs, isOver);
      const due = this.#due.filter(({ atMs }) => atMs <= nowMs);
      this.#due = this.#due.filter(({ atMs }) => atMs > nowMs);
      for (const { act } of due) act(nowMs);
      for (const head of this.#heads) head.advance(STEP_MS, nowMs);
      for (const process of this.#processes) process.advance(nowMs);
      if (!isOver) continue;
      this.#useSum += this.#countUse();
      this.#useSteps += 1;
    }
    return this.#describe();
  }

  #arrive(nowMs: number, isOver: boolean): void {
    const { loadFactor = () => 1 } = this.#scenario;
    for (let tenant = 0; tenant < TENANTS; tenant++) {
      const factor = isOver ? loadFactor(tenant) : 1;
      let chance = this.#usualRate() * factor * STEP_MS / TENANTS;
      for (; this.#random() < chance; chance -= 1) {
        this.#addArrival(tenant, nowMs);
      }
    }
  }

  #addArrival(tenant: number, nowMs: number): void {
    const kind = this.#pickKind();
    const { longFactor = 1, patienceMs } = this.#scenario;
    const isLong = longFactor > 1 && this.#random() < 0.1;
    const id = `r-${this.#arrivals.size}`;
    const arrival: Arrival = {
      requestId: id,
      tenant: `t-${tenant}`,
      priority: kind.priority,
      targetMs: kind.targetMs,
      targetAtMs: nowMs + kind.targetMs,
      deadlineAtMs: nowMs + BUDGET_MS,
      wasRefused: false,
      arrivedAtMs: nowMs,
      firstArrivedAtMs: nowMs,
      tokens: kind.tokens * (isLong ? longFactor : 1),
      kind,
      isDone: false,
      onRefused: (retryMs, atMs) => this.#retry(arrival, retryMs, atMs),
    };
    this.#arrivals.set(id, arrival);
    const process = this.#pickProcess(tenant);
    process.take(arrival, nowMs);
    if (patienceMs === undefined) return;
    const leave = (atMs: number) => {
      if (arrival.firstTokenAtMs === undefined) process.leave(arrival, atMs);
    };
    this.#due.push({ atMs: nowMs + patienceMs, act: leave });
  }

  /** A refused caller comes back once, to another process. */
  #retry(arrival: Arrival, retryAfterMs: number, nowMs: number): void {
    this.#refused += 1;
    const waits = this.#processes.some(({ waiting }) => waiting > 0);
    if (this.#countUse() < 0.5 && !waits) this.#needless += 1;
    const remainingMs = arrival.deadlineAtMs - nowMs;
    const { retriesAtOnce = false } = this.#scenario;
    const delayMs = retriesAtOnce
      ? STEP_MS
      : Math.min(retryAfterMs, remainingMs / 3);
    const again: Arrival = {
      ...arrival,
      wasRefused: true,
      arrivedAtMs: nowMs + delayMs,
      onRefused: () => this.#refused += 1,
    };
    this.#arrivals.set(arrival.requestId, again);
    this.#due.push({
      atMs: nowMs + delayMs,
      act: (atMs) =>
        this.#pickProcess(Number(arrival.tenant.slice(2))).take(again, atMs),
    });
  }

  #pickProcess(tenant: number): SimulatedProcess {
    const { hotPart } = this.#scenario;
    const count = hotPart !== undefined && tenant === 0
      ? Math.ceil(this.#processes.length * hotPart)
      : this.#processes.length;
    return this.#processes[Math.floor(this.#random() * count)]!;
  }

  #pickKind(): SimulatedKind {
    let point = this.#random();
    return this.#site.kinds.find(({ part }) => (point -= part) < 0) ??
      this.#site.kinds[0]!;
  }

  /** Heads that a process uses; see the part on connections of the page. */
  #pickSubset(): readonly SimulatedHead[] {
    const count = Math.max(4, Math.ceil(this.#heads.length * SUBSET_PART));
    return this.#heads.map((head) => ({ head, draw: this.#random() }))
      .sort((a, b) => a.draw - b.draw)
      .slice(0, count)
      .map(({ head }) => head);
  }

  #setGone(isOver: boolean): void {
    const { goneHeads = 0 } = this.#scenario;
    for (const [index, head] of this.#heads.entries()) {
      head.isGone = isOver && index < goneHeads * this.#heads.length;
    }
  }

  #sumUp(): void {
    const sum: Record<string, number> = {};
    for (const process of this.#processes) {
      for (const tenant of process.listTenants()) {
        sum[tenant] = (sum[tenant] ?? 0) + 1;
      }
    }
    this.#sums.push(sum);
  }

  #countUse(): number {
    const present = this.#heads.filter(({ isGone }) => !isGone);
    const running = present.reduce((sum, { load }) => sum + load.running, 0);
    return running / (present.length * this.#site.slots);
  }

  /** Requests for each millisecond. */
  #usualRate(): number {
    const { kinds, heads, slots } = this.#site;
    const tokens = kinds.reduce(
      (sum, kind) => sum + kind.tokens * kind.part,
      0,
    );
    return USUAL_USE * heads * tokensIn(1, slots) / tokens;
  }

  #describe(): SimulationResult {
    const all = [...this.#arrivals.values()];
    const shares = listTenantShares(all, TENANTS);
    const tenth = shares.slice(0, Math.ceil(TENANTS / 10));
    return {
      valuePart: sumValue(all) / this.#bound(all),
      worstTenth: meanOf(tenth) / meanOf(shares),
      needlessRefusals: this.#needless,
      onTimeBefore: onTimePart(all, 1_000, BEGIN_MS - 1_000),
      onTimeAfter: onTimePart(all, END_MS + RECOVERY_MS, DURATION_MS),
      refused: this.#refused,
      arrived: all.length,
      use: this.#useSum / this.#useSteps,
    };
  }

  /** Late values of all that can be served, and what being on time adds. */
  #bound(all: readonly Arrival[]): number {
    const { slots, heads } = this.#site;
    const { goneHeads = 0 } = this.#scenario;
    const windows = (DURATION_MS + DRAIN_MS) / WINDOW_MS;
    const capacities = Array.from({ length: windows }, (_, window) => {
      const atMs = window * WINDOW_MS;
      const isOver = atMs >= BEGIN_MS && atMs < END_MS;
      const present = heads * (1 - (isOver ? goneHeads : 0));
      return present * tokensIn(WINDOW_MS, slots);
    });
    // What has begun when its target passes is on time, whatever remains.
    const tokens = this.#site.kinds[0]!.tokens;
    const started = [...capacities];
    started[BEGIN_MS / WINDOW_MS]! += heads * slots * tokens * (1 - USUAL_USE);
    const arrivalsOf = (
      valueOfKind: (kind: SimulatedKind) => number,
      patienceMs: (kind: SimulatedKind) => number,
    ) =>
      groupArrivals(all, (one): BoundArrivals => ({
        window: Math.floor(one.firstArrivedAtMs / WINDOW_MS),
        work: one.tokens,
        density: valueOfKind(one.kind) / one.tokens,
        patience: Math.ceil(patienceMs(one.kind) / WINDOW_MS),
      }));
    const { patienceMs = BUDGET_MS } = this.#scenario;
    return boundValue(
      arrivalsOf(({ lateValue }) => lateValue, () => patienceMs),
      patienceMs < BUDGET_MS ? started : capacities,
    ) + boundValue(
      arrivalsOf(
        ({ onTimeValue, lateValue }) => onTimeValue - lateValue,
        ({ targetMs }) => targetMs,
      ),
      started,
    );
  }
}
