import { setTimeout as sleep } from "node:timers/promises";
import { applyFault } from "./apply_fault.ts";
import { bounds, type SoakCheck } from "./checks.ts";
import { type CallKind, SoakHistory } from "./history.ts";
import type { PlannedFault, SoakPlan } from "./plan.ts";
import { SoakCallers } from "./soak_callers.ts";
import type { SoakProgram } from "./soak_process.ts";
import { soakKeys, SoakWorld } from "./soak_world.ts";

/** One time that a check did not hold. */
export interface Violation {
  readonly check: string;
  readonly what: string;
}

/** How a soak is run. */
export interface SoakRun {
  readonly plan: SoakPlan;
  readonly program: SoakProgram;
  readonly checks: readonly SoakCheck[];
  readonly kinds?: readonly CallKind[];
  readonly onViolation?: (violation: Violation) => void;
}

/** What a run came to. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly history: SoakHistory;
  /** Faults that another one on the same target kept from happening. */
  readonly skippedCount: number;
  /** Logs of the processes, by name. */
  readonly logs: ReadonlyMap<string, string>;
}

const START_TIMEOUT_MS = 20_000;
const POLL_MS = 100;
const CHECK_INTERVAL_MS = 1_000;
const LAG_INTERVAL_MS = 50;
/** Below the shortest silence by which the program judges a stream. */
const STANDSTILL_MS = 300;
/** Watched after the bound of a withdrawn key has passed. */
const AFTER_WITHDRAWAL_MS = 1_000;

/** Runs a plan against fresh processes and checks what was seen. */
export async function runSoak(run: SoakRun): Promise<SoakResult> {
  const kinds = run.kinds ?? ["stream", "once", "safe"];
  const history = new SoakHistory();
  const world = new SoakWorld(history);
  const callers = new SoakCallers(history, kinds);
  const found = new Map<string, Violation>();
  const timers = [
    setInterval(() => look(run, history, found), CHECK_INTERVAL_MS),
    setInterval(() => {
      for (const process of world.processes.values()) void process.measure();
    }, CHECK_INTERVAL_MS),
    watchLag(history),
  ];
  let skippedCount = 0;
  try {
    await world.start({
      program: run.program,
      hasModels: kinds.includes("stream"),
    });
    callers.start(world);
    await noteRestoration(world, { series: -1, kinds });
    for (const [series, faults] of run.plan.series.entries()) {
      skippedCount += await runSeries(world, callers, faults);
      await noteRestoration(world, { series, kinds });
    }
    await waitForWithdrawals(history);
    await callers.stop();
    look(run, history, found);
  } finally {
    for (const timer of timers) clearInterval(timer);
    const ended = callers.stop();
    await world.stop();
    await ended;
  }
  const logs = new Map<string, string>();
  for (const process of world.processes.values()) {
    logs.set(process.name, process.logs.map((read) => read()).join(""));
  }
  return { violations: [...found.values()], history, skippedCount, logs };
}

/** Returns the number of faults that could not be brought about. */
async function runSeries(
  world: SoakWorld,
  callers: SoakCallers,
  faults: readonly PlannedFault[],
): Promise<number> {
  const applied = await Promise.all(faults.map(async (fault) => {
    await sleep(fault.atMs);
    return await applyFault(world, fault, callers);
  }));
  return applied.filter((isApplied) => !isApplied).length;
}

/** Waits until each process serves each kind again, and notes when. */
async function noteRestoration(
  { history, processes }: SoakWorld,
  { series, kinds }: {
    readonly series: number;
    readonly kinds: readonly CallKind[];
  },
): Promise<void> {
  const calmAtMs = performance.now();
  const boundMs = series < 0 ? START_TIMEOUT_MS : bounds.restoreMs;
  const lostMs = () => history.standstillMs - lostBeforeMs;
  const lostBeforeMs = history.standstillMs;
  const firstCall = history.calls.length;
  const missing = new Set(
    [...processes.keys()].flatMap((process) =>
      kinds.map((kind) => `${kind} at ${process}`)
    ),
  );
  while (
    missing.size > 0 && performance.now() - lostMs() < calmAtMs + boundMs
  ) {
    await sleep(POLL_MS);
    for (
      const { process, kind, key, answer } of history.calls.slice(firstCall)
    ) {
      const isServed = key === soakKeys.steady && answer?.status === 200 &&
        answer.isWhole;
      if (isServed) missing.delete(`${kind} at ${process}`);
    }
  }
  history.restorations.push({
    series,
    calmAtMs,
    missing: [...missing],
    ...(missing.size === 0 ? { restoredAtMs: performance.now() } : {}),
  });
}

/** Calls go on until withdrawn keys were watched past their bound. */
async function waitForWithdrawals(history: SoakHistory): Promise<void> {
  const lastMs = Math.max(...history.withdrawals.map(({ fromMs }) => fromMs));
  const boundMs = bounds.keyRevocationMs + AFTER_WITHDRAWAL_MS;
  while (performance.now() < lastMs + boundMs + history.lagMs) {
    await sleep(POLL_MS);
  }
}

/**
 * Notes how late the runner itself is. What it sees is late by that time, and
 * the instances, which run in it, stand still meanwhile.
 */
function watchLag(history: SoakHistory): NodeJS.Timeout {
  let lastMs = performance.now();
  return setInterval(() => {
    const fromMs = lastMs;
    lastMs = performance.now();
    const lagMs = lastMs - fromMs - LAG_INTERVAL_MS;
    history.lagMs = Math.max(history.lagMs, lagMs);
    if (lagMs < STANDSTILL_MS) return;
    history.standstillMs += lagMs;
    const target = { kind: "instance" } as const;
    history.disturbances.push({ target, fault: "late", fromMs, toMs: lastMs });
  }, LAG_INTERVAL_MS);
}

/** Runs the checks; adds and tells what was not found before. */
function look(
  { checks, onViolation }: SoakRun,
  history: SoakHistory,
  found: Map<string, Violation>,
): void {
  for (const { name: check, find } of checks) {
    for (const what of find(history)) {
      const key = `${check}: ${what}`;
      if (found.has(key)) continue;
      found.set(key, { check, what });
      onViolation?.({ check, what });
    }
  }
}
