import { setTimeout as sleep } from "node:timers/promises";
import { applyFault } from "./apply_fault.ts";
import { bounds } from "./bounds.ts";
import type { SoakCheck } from "./checks.ts";
import { type CallKind, SoakHistory } from "./history.ts";
import type { SoakPlan } from "./plan.ts";
import type { PlannedFault } from "./planned_fault.ts";
import { SoakCallers } from "./soak_callers.ts";
import type { SoakProgram } from "./soak_process.ts";
import { SoakCluster, soakKeys } from "./soak_cluster.ts";

/** A violation of a check. */
export interface Violation {
  readonly check: string;
  readonly message: string;
}

/** Options of a soak run. */
export interface SoakRun {
  readonly plan: SoakPlan;
  readonly program: SoakProgram;
  readonly checks: readonly SoakCheck[];
  readonly kinds?: readonly CallKind[];
  readonly onViolation?: (violation: Violation) => void;
}

/** Result of a soak run. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly history: SoakHistory;
  /** Faults skipped because another one affected the same target. */
  readonly skippedCount: number;
  /** Logs of the processes, by name. */
  readonly logs: ReadonlyMap<string, string>;
}

const START_TIMEOUT_MS = 20_000;
const POLL_MS = 100;
const CHECK_INTERVAL_MS = 1_000;
const LAG_INTERVAL_MS = 50;
/** Below the shortest silence by which the program judges a stream stalled. */
const STALL_THRESHOLD_MS = 300;
/** Observation time after the bound of a withdrawn key has passed. */
const WITHDRAWAL_OBSERVATION_MS = 1_000;

/** Runs a plan against new processes and checks the history. */
export async function runSoak(run: SoakRun): Promise<SoakResult> {
  const kinds = run.kinds ?? ["stream", "once", "safe"];
  const history = new SoakHistory();
  const cluster = new SoakCluster(history);
  const callers = new SoakCallers(history, kinds);
  const found = new Map<string, Violation>();
  const timers = [
    setInterval(() => runChecks(run, history, found), CHECK_INTERVAL_MS),
    setInterval(() => {
      for (const each of cluster.processes.values()) void each.sampleMemory();
    }, CHECK_INTERVAL_MS),
    monitorLag(history),
  ];
  let skippedCount = 0;
  try {
    await cluster.start({
      program: run.program,
      hasModels: kinds.includes("stream"),
    });
    callers.start(cluster);
    await awaitRestoration(cluster, { series: -1, kinds });
    for (const [series, faults] of run.plan.series.entries()) {
      skippedCount += await runSeries(cluster, callers, faults);
      await awaitRestoration(cluster, { series, kinds });
    }
    await awaitWithdrawals(history);
    await callers.stop();
    runChecks(run, history, found);
  } finally {
    for (const timer of timers) clearInterval(timer);
    const ended = callers.stop();
    await cluster.stop();
    await ended;
  }
  const logs = new Map<string, string>();
  for (const process of cluster.processes.values()) {
    logs.set(process.name, process.logs.map((read) => read()).join(""));
  }
  return { violations: [...found.values()], history, skippedCount, logs };
}

/** Returns the number of faults that were skipped. */
async function runSeries(
  cluster: SoakCluster,
  callers: SoakCallers,
  faults: readonly PlannedFault[],
): Promise<number> {
  const applied = await Promise.all(faults.map(async (fault) => {
    await sleep(fault.atMs);
    return await applyFault(cluster, fault, callers);
  }));
  return applied.filter((isApplied) => !isApplied).length;
}

/** Waits until each process serves each kind again; records the time. */
async function awaitRestoration(
  { history, processes }: SoakCluster,
  { series, kinds }: {
    readonly series: number;
    readonly kinds: readonly CallKind[];
  },
): Promise<void> {
  const faultsEndedAtMs = performance.now();
  const boundMs = series < 0 ? START_TIMEOUT_MS : bounds.restoreMs;
  const stalledMs = () => history.runnerStallMs - stalledBeforeMs;
  const stalledBeforeMs = history.runnerStallMs;
  const firstCall = history.calls.length;
  const missing = new Set(
    [...processes.keys()].flatMap((process) =>
      kinds.map((kind) => `${kind} at ${process}`)
    ),
  );
  while (
    missing.size > 0 &&
    performance.now() - stalledMs() < faultsEndedAtMs + boundMs
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
    faultsEndedAtMs,
    missing: [...missing],
    ...(missing.size === 0 ? { restoredAtMs: performance.now() } : {}),
  });
}

/** Waits until withdrawn keys have been observed past their bound. */
async function awaitWithdrawals(history: SoakHistory): Promise<void> {
  const lastMs = Math.max(...history.withdrawals.map(({ fromMs }) => fromMs));
  const boundMs = bounds.keyRevocationMs + WITHDRAWAL_OBSERVATION_MS;
  while (performance.now() < lastMs + boundMs + history.runnerLagMs) {
    await sleep(POLL_MS);
  }
}

/**
 * Records the runner's event loop lag. Its observations are late by that time,
 * and the instances, which run in it, are stalled meanwhile.
 */
function monitorLag(history: SoakHistory): NodeJS.Timeout {
  let lastMs = performance.now();
  return setInterval(() => {
    const fromMs = lastMs;
    lastMs = performance.now();
    const lagMs = lastMs - fromMs - LAG_INTERVAL_MS;
    history.runnerLagMs = Math.max(history.runnerLagMs, lagMs);
    if (lagMs < STALL_THRESHOLD_MS) return;
    history.runnerStallMs += lagMs;
    const target = { kind: "instance" } as const;
    history.injectedFaults.push({
      target,
      fault: "late",
      fromMs,
      toMs: lastMs,
    });
  }, LAG_INTERVAL_MS);
}

/** Runs the checks; stores and reports violations not found before. */
function runChecks(
  { checks, onViolation }: SoakRun,
  history: SoakHistory,
  found: Map<string, Violation>,
): void {
  for (const { name: check, find } of checks) {
    for (const message of find(history)) {
      const key = `${check}: ${message}`;
      if (found.has(key)) continue;
      found.set(key, { check, message });
      onViolation?.({ check, message });
    }
  }
}
