import type { FakeArrival } from "@celerytray/fakes";
import type {
  CallNote,
  Disturbance,
  SoakHistory,
  StateSpan,
} from "./history.ts";
import { LINK_DELAY_MS } from "./loopback_proxy.ts";

/** Settings and configuration that the processes of a soak run with. */
export const bounds = {
  keyRevocationMs: 5_000,
  evacuationMs: 5_000,
  leavingMs: 3_000,
  restoreMs: 15_000,
  coldStartMs: 3_000,
  coldPerSecond: 18,
  coldOvershoot: 1.5,
  coldSlackRequests: 5,
  /** Memory of the smallest machines. */
  memoryMb: 202,
} as const;

const NOT_RUN_STATUSES = [429, 503];

/** A condition that must hold over all that was seen. */
export interface SoakCheck {
  readonly name: string;
  /** One line for each time that it did not hold. */
  readonly find: (history: SoakHistory) => readonly string[];
}

/** All conditions, by name. */
export const checks: readonly SoakCheck[] = [
  { name: "own-answer", find: findForeignAnswers },
  { name: "runs-once", find: findRepeats },
  { name: "true-refusal", find: findFalseRefusals },
  { name: "withdrawn-key", find: findWithdrawnRuns },
  { name: "leaving-instance", find: findLateArrivals },
  { name: "no-loss", find: findLosses },
  { name: "restored", find: findOutages },
  { name: "stays-up", find: findExits },
  { name: "bounded-memory", find: findLargeProcesses },
  { name: "evacuated-zone", find: findEvacuatedArrivals },
  { name: "cold-bound", find: findColdOverloads },
];

/** Each caller gets its own whole answer. */
function findForeignAnswers({ calls }: SoakHistory): readonly string[] {
  return calls.filter(({ answer, expected, callId }) =>
    answer?.status === 200 && answer.isWhole &&
    (answer.body !== expected || answer.answeredId !== callId)
  ).map((call) => `${tell(call)} got another answer: ${JSON.stringify(call)}`);
}

/** A request that may not be repeated runs at most once. */
function findRepeats(history: SoakHistory): readonly string[] {
  const runs = listRuns(history);
  return history.calls.filter(({ kind, callId }) =>
    kind === "once" && (runs.get(callId)?.length ?? 0) > 1
  ).map((call) =>
    `${tell(call)} ran at ${
      runs.get(call.callId)!.map(({ instanceId }) => instanceId).join(", ")
    }`
  );
}

/** What was refused has not run and does not run later. */
function findFalseRefusals(history: SoakHistory): readonly string[] {
  const runs = listRuns(history);
  return history.calls.filter(({ answer, callId }) =>
    NOT_RUN_STATUSES.includes(answer?.status ?? 0) && runs.has(callId)
  ).map((call) =>
    `${tell(call)} was refused with ${call.answer!.status} and ran at ${
      runs.get(call.callId)![0]!.instanceId
    }`
  );
}

/** Nothing runs whose key was withdrawn longer ago than the bound. */
function findWithdrawnRuns(history: SoakHistory): readonly string[] {
  const runs = listRuns(history);
  return history.withdrawals.flatMap(({ name, fromMs }) =>
    history.calls.filter(({ key }) => key === name).flatMap((call) =>
      (runs.get(call.callId) ?? []).map((run) => ({
        lateMs: run.atMs - fromMs - allowedMs(history, run),
        call,
      })).filter(({ lateMs }) => lateMs > bounds.keyRevocationMs)
    )
  ).map(({ call, lateMs }) =>
    `${tell(call)} ran ${Math.round(lateMs)} ms after its key was withdrawn`
  );
}

/** Nothing reaches an instance that leaves longer than the bound. */
function findLateArrivals(history: SoakHistory): readonly string[] {
  return findArrivalsIn(history, history.leaves, {
    nameOf: ({ instanceId }) => instanceId,
    boundMs: bounds.leavingMs,
  });
}

/** Nothing reaches a zone that was evacuated longer ago than the bound. */
function findEvacuatedArrivals(history: SoakHistory): readonly string[] {
  return findArrivalsIn(history, history.evacuations, {
    nameOf: ({ zone }) => zone,
    boundMs: bounds.evacuationMs,
  });
}

/** Arrivals in spans that began longer ago than a bound. */
function findArrivalsIn(
  history: SoakHistory,
  spans: readonly StateSpan[],
  { nameOf, boundMs }: {
    readonly nameOf: (arrival: FakeArrival) => string;
    readonly boundMs: number;
  },
): readonly string[] {
  return spans.flatMap(({ name, fromMs, toMs }) =>
    history.arrivals.filter((arrival) =>
      nameOf(arrival) === name && arrival.atMs < toMs &&
      arrival.atMs - fromMs - allowedMs(history, arrival) > boundMs
    ).map(({ callId, instanceId, atMs }) =>
      `${callId} reached ${instanceId} ${
        Math.round(atMs - fromMs)
      } ms after ${name} was to get nothing more`
    )
  );
}

/** A cold instance gets at most its bound in any second. */
function findColdOverloads(history: SoakHistory): readonly string[] {
  const limit = Math.floor(
    bounds.coldPerSecond * bounds.coldOvershoot + bounds.coldSlackRequests,
  );
  return history.colds.flatMap(({ name, fromMs, toMs }) => {
    const times = history.arrivals.filter((arrival) =>
      arrival.instanceId === name && !arrival.isMisdirected &&
      arrival.atMs >= fromMs && arrival.atMs <= toMs
    ).map(({ atMs }) => atMs);
    const isOver = times.some((atMs, index) =>
      (times[index + limit] ?? Number.POSITIVE_INFINITY) - atMs < 1_000
    );
    return isOver
      ? [`${name}, cold from ${Math.round(fromMs)}, got over ${limit} in 1 s`]
      : [];
  });
}

/** What a process took is answered, unless it or its link was broken. */
function findLosses(history: SoakHistory): readonly string[] {
  return history.calls.filter((call) => {
    const { answer } = call;
    if (answer === undefined || answer.isWhole || call.wasRefused === true) {
      return false;
    }
    const isBrokenOff = answer.status !== 0;
    return !history.disturbances.some((disturbance) =>
      overlaps(disturbance, call) &&
      (isOfProcess(disturbance, call) ||
        (isBrokenOff && disturbance.target.kind === "instance"))
    );
  }).map((call) => `${tell(call)} was lost: ${JSON.stringify(call)}`);
}

function findOutages({ restorations }: SoakHistory): readonly string[] {
  return restorations.filter(({ restoredAtMs }) => restoredAtMs === undefined)
    .map(({ series, missing }) =>
      `series ${series}: ${bounds.restoreMs} ms after the last fault there was no answer for ${
        missing.join(", ")
      }`
    );
}

function findExits({ exits }: SoakHistory): readonly string[] {
  return exits.filter(({ isExpected }) => !isExpected)
    .map(({ process, how }) => `${process} did not end as it should: ${how}`);
}

function findLargeProcesses({ memory }: SoakHistory): readonly string[] {
  return memory.filter(({ rssMb }) => rssMb > bounds.memoryMb)
    .map(({ process, rssMb }) => `${process} holds ${Math.round(rssMb)} MB`);
}

/** The runner's own lateness, and what its proxies delayed. */
function allowedMs(history: SoakHistory, { instanceId, atMs }: FakeArrival) {
  const isDelayed = history.disturbances.some(({ target, fault, ...span }) =>
    target.kind === "instance" && target.name === instanceId &&
    fault === "delay" && span.fromMs < atMs && atMs < span.toMs + LINK_DELAY_MS
  );
  return history.lagMs + (isDelayed ? LINK_DELAY_MS : 0);
}

/** A broken process, or a broken link between it and its callers. */
function isOfProcess({ target, fault }: Disturbance, { process }: CallNote) {
  return (target.kind === "process" || target.kind === "callers") &&
    target.name === process && fault !== "terminate";
}

function overlaps(
  { fromMs, toMs }: Disturbance,
  { sentAtMs, endedAtMs }: CallNote,
): boolean {
  return fromMs <= endedAtMs! && toMs >= sentAtMs;
}

function listRuns({ arrivals }: SoakHistory) {
  const runs = new Map<string, FakeArrival[]>();
  for (const arrival of arrivals) {
    if (!arrival.hasRun) continue;
    const known = runs.get(arrival.callId);
    if (known === undefined) runs.set(arrival.callId, [arrival]);
    else known.push(arrival);
  }
  return runs;
}

function tell({ callId, kind, process }: CallNote): string {
  return `${kind} ${callId} at ${process}`;
}
