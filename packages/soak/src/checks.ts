import { type FakeArrival, LINK_DELAY_MS } from "@celerytray/fakes";
import type { SoakHistory, StateInterval } from "./history.ts";
import { bounds } from "./bounds.ts";
import { findLateConfigs, findOldConfigs } from "./config_checks.ts";
import { findUnservedCuts } from "./cut_checks.ts";
import { findDrainedArrivals } from "./drain_checks.ts";
import { findDiscardedAnswers } from "./joined_checks.ts";
import { findCutStreams, findLosses } from "./loss_checks.ts";
import { describeCall, listRuns } from "./history_queries.ts";

const REFUSED_STATUSES = [429, 503];

/** A condition that the history must satisfy. */
export interface SoakCheck {
  readonly name: string;
  /** Returns one line for each violation. */
  readonly find: (history: SoakHistory) => readonly string[];
}

export const checks: readonly SoakCheck[] = [
  { name: "own-answer", find: findWrongAnswers },
  { name: "runs-once", find: findRepeatedRuns },
  { name: "true-refusal", find: findFalseRefusals },
  { name: "withdrawn-key", find: findWithdrawnRuns },
  { name: "leaving-instance", find: findLeavingArrivals },
  { name: "no-loss", find: findLosses },
  { name: "sound-stream", find: findCutStreams },
  { name: "restored", find: findOutages },
  { name: "stays-up", find: findUnexpectedExits },
  { name: "bounded-memory", find: findLargeProcesses },
  { name: "evacuated-zone", find: findEvacuatedArrivals },
  { name: "cold-bound", find: findColdOverloads },
  { name: "limit-bound", find: findLimitOverloads },
  { name: "poison-bound", find: findPoisonArrivals },
  { name: "order", find: findWrongPieces },
  { name: "config-in-time", find: findLateConfigs },
  { name: "config-forward", find: findOldConfigs },
  { name: "drained-instance", find: findDrainedArrivals },
  { name: "joined-answer", find: findDiscardedAnswers },
  { name: "cut-links", find: findUnservedCuts },
];

/** Each caller gets its own complete answer. */
function findWrongAnswers({ calls }: SoakHistory): readonly string[] {
  return calls.filter(({ answer, expected, callId }) =>
    answer?.status === 200 && answer.isWhole &&
    (answer.body !== expected || answer.answeredId !== callId)
  ).map((call) =>
    `${describeCall(call)} got another answer: ${JSON.stringify(call)}`
  );
}

/** A stream that breaks off has sent its first pieces, each once. */
function findWrongPieces({ calls }: SoakHistory): readonly string[] {
  return calls.filter(({ kind, answer, expected }) =>
    kind === "stream" && answer?.status === 200 &&
    !expected.startsWith(answer.body)
  ).map((call) =>
    `${describeCall(call)} got other pieces: ${JSON.stringify(call)}`
  );
}

/** A request that may not be retried runs at most once. */
function findRepeatedRuns(history: SoakHistory): readonly string[] {
  const runs = listRuns(history);
  return history.calls.filter(({ kind, callId }) =>
    kind === "once" && (runs.get(callId)?.length ?? 0) > 1
  ).map((call) =>
    `${describeCall(call)} ran at ${
      runs.get(call.callId)!.map(({ instanceId }) => instanceId).join(", ")
    }`
  );
}

/** A refused request has not run and does not run later. */
function findFalseRefusals(history: SoakHistory): readonly string[] {
  const runs = listRuns(history);
  return history.calls.filter(({ answer, callId }) =>
    REFUSED_STATUSES.includes(answer?.status ?? 0) && runs.has(callId)
  ).map((call) =>
    `${describeCall(call)} was refused with ${call.answer!.status} and ran at ${
      runs.get(call.callId)![0]!.instanceId
    }`
  );
}

/** No request runs whose key was withdrawn longer ago than the bound. */
function findWithdrawnRuns(history: SoakHistory): readonly string[] {
  const runs = listRuns(history);
  return history.withdrawals.flatMap(({ name, fromMs }) =>
    history.calls.filter(({ key }) => key === name).flatMap((call) =>
      (runs.get(call.callId) ?? []).map((run) => ({
        lateMs: run.atMs - fromMs - toleranceMs(history, run),
        call,
      })).filter(({ lateMs }) => lateMs > bounds.keyRevocationMs)
    )
  ).map(({ call, lateMs }) =>
    `${describeCall(call)} ran ${
      Math.round(lateMs)
    } ms after its key was withdrawn`
  );
}

/** No request reaches an instance that leaves for longer than the bound. */
function findLeavingArrivals(history: SoakHistory): readonly string[] {
  return findLateArrivals(history, history.leavePeriods, {
    nameOf: ({ instanceId }) => instanceId,
    boundMs: bounds.leavingMs,
  });
}

/** No request reaches a zone that was evacuated longer ago than the bound. */
function findEvacuatedArrivals(history: SoakHistory): readonly string[] {
  return findLateArrivals(history, history.evacuations, {
    nameOf: ({ zone }) => zone,
    boundMs: bounds.evacuationMs,
  });
}

/** Arrivals in intervals that began longer ago than a bound. */
function findLateArrivals(
  history: SoakHistory,
  intervals: readonly StateInterval[],
  { nameOf, boundMs }: {
    readonly nameOf: (arrival: FakeArrival) => string;
    readonly boundMs: number;
  },
): readonly string[] {
  return intervals.flatMap(({ name, fromMs, toMs }) =>
    history.arrivals.filter((arrival) =>
      nameOf(arrival) === name && arrival.atMs < toMs &&
      arrival.atMs - fromMs - toleranceMs(history, arrival) > boundMs
    ).map(({ callId, instanceId, atMs }) =>
      `${callId} reached ${instanceId} ${
        Math.round(atMs - fromMs)
      } ms after requests to ${name} should have stopped`
    )
  );
}

/** A cold instance receives at most its limit in any second. */
function findColdOverloads(history: SoakHistory): readonly string[] {
  const limit = Math.floor(
    bounds.coldPerSecond * bounds.coldOvershoot + bounds.coldSlackRequests,
  );
  return history.coldPeriods.flatMap(({ name, fromMs, toMs }) => {
    const times = history.arrivals.filter((arrival) =>
      arrival.instanceId === name && !arrival.isMisdirected &&
      arrival.atMs >= fromMs && arrival.atMs <= toMs
    ).map(({ atMs }) => atMs).sort((left, right) => left - right);
    const isOver = times.some((atMs, index) =>
      (times[index + limit] ?? Number.POSITIVE_INFINITY) - atMs < 1_000
    );
    return isOver
      ? [
        `${name}, cold from ${
          Math.round(fromMs)
        }, got over ${limit} requests in 1 s`,
      ]
      : [];
  });
}

/** An instance receives no more than the users' bound on the limit that it names. */
function findLimitOverloads(history: SoakHistory): readonly string[] {
  const { limitFactor, limitSlackRequests, limitWindowMs, stableWindowMs } =
    bounds;
  return history.limitPeriods.flatMap(({ name, perSecond, fromMs, toMs }) => {
    const allowed = Math.floor(
      limitFactor * perSecond * limitWindowMs / 1_000 + limitSlackRequests,
    );
    const times = listBoundArrivals(history, stableWindowMs).filter((
      { instanceId, isMisdirected, atMs },
    ) =>
      instanceId === name && !isMisdirected &&
      atMs >= fromMs + stableWindowMs && atMs <= toMs
    ).map(({ atMs }) => atMs).sort((left, right) => left - right);
    const isOver = times.some((atMs, index) =>
      (times[index + allowed] ?? Number.POSITIVE_INFINITY) - atMs <
        limitWindowMs
    );
    return isOver
      ? [
        `${name}, limited to ${perSecond} a second, got over ${allowed} in 4 s`,
      ]
      : [];
  });
}

/**
 * Prompts that crash instances hardly reach any once they have crashed five, and
 * whole requests once they have crashed three.
 */
function findPoisonArrivals(history: SoakHistory): readonly string[] {
  const { poisonRequests, stableWindowMs } = bounds;
  const partOf = new Map(
    history.calls.map(({ callId, deadlyPart }) => [callId, deadlyPart]),
  );
  const parts = new Set(history.calls.map(({ deadlyPart }) => deadlyPart));
  parts.delete(undefined);
  return [...parts].flatMap((part) => {
    const runs = history.arrivals.filter(({ callId, hasRun }) =>
      hasRun && partOf.get(callId) === part
    );
    const isPrompt = history.calls.some(({ deadlyPart, kind }) =>
      deadlyPart === part && kind === "stream"
    );
    const crashes = isPrompt
      ? bounds.poisonCrashes
      : bounds.deadlyRequestCrashes;
    const last = runs[crashes - 1];
    if (last === undefined) return [];
    const late = listBoundArrivals(history, stableWindowMs).filter((
      { callId, atMs },
    ) =>
      partOf.get(callId) === part && atMs > last.handledAtMs + stableWindowMs
    );
    return late.length > poisonRequests
      ? [
        `${late.length} requests with ${part} were sent after ${crashes} crashes`,
      ]
      : [];
  });
}

/** Arrivals from processes that no fault has touched for a time. */
function listBoundArrivals(
  history: SoakHistory,
  calmMs: number,
): readonly FakeArrival[] {
  const processOf = new Map(
    history.calls.map(({ callId, process }) => [callId, process]),
  );
  return history.arrivals.filter(({ callId, instanceId, atMs }) =>
    !history.injectedFaults.some(({ target, fromMs, toMs }) =>
      fromMs <= atMs && toMs + calmMs >= atMs &&
      (target.kind === "store" ||
        (target.kind === "instance" && target.name === instanceId) ||
        target.name === processOf.get(callId))
    )
  );
}

function findOutages({ restorations }: SoakHistory): readonly string[] {
  return restorations.filter(({ restoredAtMs }) => restoredAtMs === undefined)
    .map(({ series, missing }) =>
      `series ${series}: ${bounds.restoreMs} ms after the last fault there was no answer for ${
        missing.join(", ")
      }`
    );
}

function findUnexpectedExits({ exits }: SoakHistory): readonly string[] {
  return exits.filter(({ isExpected }) => !isExpected)
    .map(({ process, description }) =>
      `${process} exited unexpectedly: ${description}`
    );
}

function findLargeProcesses({ memorySamples }: SoakHistory): readonly string[] {
  return memorySamples.filter(({ rssMb }) => rssMb > bounds.memoryMb)
    .map(({ process, rssMb }) => `${process} uses ${Math.round(rssMb)} MB`);
}

/** Tolerance for the runner's lag and the delay of its proxies. */
function toleranceMs(history: SoakHistory, { instanceId, atMs }: FakeArrival) {
  const isDelayed = history.injectedFaults.some((
    { target, fault, ...interval },
  ) =>
    target.kind === "instance" && target.name === instanceId &&
    fault === "delay" && interval.fromMs < atMs &&
    atMs < interval.toMs + LINK_DELAY_MS
  );
  return history.runnerLagMs + (isDelayed ? LINK_DELAY_MS : 0);
}
