import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type ArrivalGroup, offlineValueBound } from "./offline_bound.ts";
import {
  type Arrival,
  listTenantValueFractions,
  meanOf,
  mergeArrivals,
  onTimeFraction,
  servedValue,
  type SimulatedRequestKind,
} from "./simulated_arrivals.ts";
import { SimulatedHead, tokensWithin } from "./simulated_head.ts";
import { SimulatedProcess } from "./simulated_process.ts";
import type {
  SimulatedScenario,
  SimulatedSite,
  SimulationResult,
} from "./simulated_scenario.ts";

const STEP_MS = 5;
const TENANT_COUNT = 24;
const BUDGET_MS = 4_000;
const BASE_UTILISATION = 0.6;
const HEAD_QUEUE_LENGTH = 6;
const OVERLOAD_START_MS = 3_000;
export const OVERLOAD_MS = 5_000;
const OVERLOAD_END_MS = OVERLOAD_START_MS + OVERLOAD_MS;
const RECOVERY_MS = 2_000;
const DURATION_MS = OVERLOAD_END_MS + RECOVERY_MS + 3_000;
const DRAIN_MS = BUDGET_MS + 1_000;
/** Interval and age of the request totals over all processes. */
const TOTALS_INTERVAL_MS = 500;
const TOTALS_AGE_MS = 1_500;
const BOUND_WINDOW_MS = 250;
const HEAD_SUBSET_FRACTION = 0.3;

/** Runs a scenario in virtual time against the production admission code. */
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
  /** All requests by id; a retry replaces its original. */
  readonly #arrivals = new Map<string, Arrival>();
  readonly #totals: Record<string, number>[] = [];
  #scheduled: {
    readonly atMs: number;
    readonly run: (nowMs: number) => void;
  }[] = [];
  #refused = 0;
  #needlessRefusals = 0;
  #utilisationSum = 0;
  #utilisationSteps = 0;

  constructor(site: SimulatedSite, scenario: SimulatedScenario, seed: number) {
    this.#site = site;
    this.#scenario = scenario;
    const generator = xoroshiro128plus(seed);
    const range = 2 ** 30;
    this.#random = () => uniformInt(generator, 0, range - 1) / range;
    this.#heads = Array.from(
      { length: site.heads },
      () => new SimulatedHead(site.slots, HEAD_QUEUE_LENGTH),
    );
    this.#processes = Array.from(
      { length: site.processes },
      () =>
        new SimulatedProcess({
          heads: this.#pickSubset(),
          random: this.#random,
          tenantTotals: () =>
            this.#totals.at(-1 - TOTALS_AGE_MS / TOTALS_INTERVAL_MS),
        }),
    );
  }

  run(): SimulationResult {
    for (let nowMs = 0; nowMs < DURATION_MS + DRAIN_MS; nowMs += STEP_MS) {
      const isOverloaded = nowMs >= OVERLOAD_START_MS &&
        nowMs < OVERLOAD_END_MS;
      this.#updateDownHeads(isOverloaded);
      if (nowMs % TOTALS_INTERVAL_MS === 0) this.#publishTotals();
      if (nowMs < DURATION_MS) this.#generateArrivals(nowMs, isOverloaded);
      const due = this.#scheduled.filter(({ atMs }) => atMs <= nowMs);
      this.#scheduled = this.#scheduled.filter(({ atMs }) => atMs > nowMs);
      for (const { run } of due) run(nowMs);
      for (const head of this.#heads) head.advance(STEP_MS, nowMs);
      for (const process of this.#processes) process.advance(nowMs);
      if (!isOverloaded) continue;
      this.#utilisationSum += this.#utilisation();
      this.#utilisationSteps += 1;
    }
    return this.#summarise();
  }

  #generateArrivals(nowMs: number, isOverloaded: boolean): void {
    const { loadFactor = () => 1 } = this.#scenario;
    for (let tenant = 0; tenant < TENANT_COUNT; tenant++) {
      const factor = isOverloaded ? loadFactor(tenant) : 1;
      let chance = this.#baseRatePerMs() * factor * STEP_MS / TENANT_COUNT;
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
    process.offer(arrival, nowMs);
    if (patienceMs === undefined) return;
    const abandon = (atMs: number) => {
      if (arrival.firstTokenAtMs === undefined) process.abandon(arrival, atMs);
    };
    this.#scheduled.push({ atMs: nowMs + patienceMs, run: abandon });
  }

  /** Retries a refused request once, at a process that is drawn anew. */
  #retry(arrival: Arrival, retryAfterMs: number, nowMs: number): void {
    this.#refused += 1;
    const hasWaiting = this.#processes.some(({ waiting }) => waiting > 0);
    if (this.#utilisation() < 0.5 && !hasWaiting) this.#needlessRefusals += 1;
    const remainingMs = arrival.deadlineAtMs - nowMs;
    const { retriesImmediately = false } = this.#scenario;
    const delayMs = retriesImmediately
      ? STEP_MS
      : Math.min(retryAfterMs, remainingMs / 3);
    const retry: Arrival = {
      ...arrival,
      wasRefused: true,
      arrivedAtMs: nowMs + delayMs,
      onRefused: () => this.#refused += 1,
    };
    this.#arrivals.set(arrival.requestId, retry);
    this.#scheduled.push({
      atMs: nowMs + delayMs,
      run: (atMs) =>
        this.#pickProcess(Number(arrival.tenant.slice(2))).offer(retry, atMs),
    });
  }

  #pickProcess(tenant: number): SimulatedProcess {
    const { hotProcessFraction } = this.#scenario;
    const count = hotProcessFraction !== undefined && tenant === 0
      ? Math.ceil(this.#processes.length * hotProcessFraction)
      : this.#processes.length;
    return this.#processes[Math.floor(this.#random() * count)]!;
  }

  #pickKind(): SimulatedRequestKind {
    let point = this.#random();
    return this.#site.kinds.find(({ fraction }) => (point -= fraction) < 0) ??
      this.#site.kinds[0]!;
  }

  /** Heads that a process connects to; see the design page on connections. */
  #pickSubset(): readonly SimulatedHead[] {
    const count = Math.max(
      4,
      Math.ceil(this.#heads.length * HEAD_SUBSET_FRACTION),
    );
    return this.#heads.map((head) => ({ head, draw: this.#random() }))
      .sort((a, b) => a.draw - b.draw)
      .slice(0, count)
      .map(({ head }) => head);
  }

  #updateDownHeads(isOverloaded: boolean): void {
    const { downHeadFraction = 0 } = this.#scenario;
    for (const [index, head] of this.#heads.entries()) {
      head.isDown = isOverloaded &&
        index < downHeadFraction * this.#heads.length;
    }
  }

  #publishTotals(): void {
    const sum: Record<string, number> = {};
    for (const process of this.#processes) {
      for (const tenant of process.listTenants()) {
        sum[tenant] = (sum[tenant] ?? 0) + 1;
      }
    }
    this.#totals.push(sum);
  }

  #utilisation(): number {
    const present = this.#heads.filter(({ isDown }) => !isDown);
    const running = present.reduce((sum, { load }) => sum + load.running, 0);
    return running / (present.length * this.#site.slots);
  }

  /** Requests per millisecond at base load. */
  #baseRatePerMs(): number {
    const { kinds, heads, slots } = this.#site;
    const tokens = kinds.reduce(
      (sum, kind) => sum + kind.tokens * kind.fraction,
      0,
    );
    return BASE_UTILISATION * heads * tokensWithin(1, slots) / tokens;
  }

  #summarise(): SimulationResult {
    const all = [...this.#arrivals.values()];
    const shares = listTenantValueFractions(all, TENANT_COUNT);
    const worstDecile = shares.slice(0, Math.ceil(TENANT_COUNT / 10));
    return {
      valueFraction: servedValue(all) / this.#offlineBound(all),
      worstDecileRatio: meanOf(worstDecile) / meanOf(shares),
      needlessRefusalCount: this.#needlessRefusals,
      onTimeFractionBefore: onTimeFraction(
        all,
        1_000,
        OVERLOAD_START_MS - 1_000,
      ),
      onTimeFractionAfter: onTimeFraction(
        all,
        OVERLOAD_END_MS + RECOVERY_MS,
        DURATION_MS,
      ),
      refusedCount: this.#refused,
      arrivedCount: all.length,
      utilisation: this.#utilisationSum / this.#utilisationSteps,
    };
  }

  /** Bound of the late values plus bound of the extra on-time values. */
  #offlineBound(all: readonly Arrival[]): number {
    const { slots, heads } = this.#site;
    const { downHeadFraction = 0 } = this.#scenario;
    const windows = (DURATION_MS + DRAIN_MS) / BOUND_WINDOW_MS;
    const capacities = Array.from({ length: windows }, (_, window) => {
      const atMs = window * BOUND_WINDOW_MS;
      const isOverloaded = atMs >= OVERLOAD_START_MS && atMs < OVERLOAD_END_MS;
      const present = heads * (1 - (isOverloaded ? downHeadFraction : 0));
      return present * tokensWithin(BOUND_WINDOW_MS, slots);
    });
    // A request that starts by its target is on time, whatever work remains.
    const tokens = this.#site.kinds[0]!.tokens;
    const started = [...capacities];
    started[OVERLOAD_START_MS / BOUND_WINDOW_MS]! += heads * slots * tokens *
      (1 - BASE_UTILISATION);
    const arrivalsOf = (
      valueOfKind: (kind: SimulatedRequestKind) => number,
      patienceMs: (kind: SimulatedRequestKind) => number,
    ) =>
      mergeArrivals(all, (one): ArrivalGroup => ({
        window: Math.floor(one.firstArrivedAtMs / BOUND_WINDOW_MS),
        work: one.tokens,
        density: valueOfKind(one.kind) / one.tokens,
        slackWindows: Math.ceil(patienceMs(one.kind) / BOUND_WINDOW_MS),
      }));
    const { patienceMs = BUDGET_MS } = this.#scenario;
    return offlineValueBound(
      arrivalsOf(({ lateValue }) => lateValue, () => patienceMs),
      patienceMs < BUDGET_MS ? started : capacities,
    ) + offlineValueBound(
      arrivalsOf(
        ({ onTimeValue, lateValue }) => onTimeValue - lateValue,
        ({ targetMs }) => targetMs,
      ),
      started,
    );
  }
}
