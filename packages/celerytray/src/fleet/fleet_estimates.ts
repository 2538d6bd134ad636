import type { EngineStatus } from "@celerytray/schema";
import { HashMap, Option } from "effect";
import { type FleetObservation, isPresent } from "./planner_types.ts";
import { isLoading, matchesReplica } from "./replica_health.ts";
import {
  emptyReturnTimes,
  findBucket,
  noteReached,
  noteReturned,
  type ReturnTimes,
} from "./return_times.ts";
import { isConfirmed, type Straggler, updateStragglers } from "./stragglers.ts";

/** An ongoing absence of an instance. */
export interface Absence {
  readonly sinceMs: number;
  /** Last bucket of the return times in which it was counted. */
  readonly bucket: number;
  /**
   * Whether its fabric domain had an outage. Such an absence is not counted in
   * the return times and the history of single instances.
   */
  readonly isDomainOutage: boolean;
}

/** Past absences of an instance. */
export interface AbsenceHistory {
  readonly count: number;
  readonly returnedAtMs: number;
}

/** An ongoing load of weights. */
export interface RunningLoad {
  readonly sinceMs: number;
  /** Loaded fraction, 0 to 1. */
  readonly fraction: number;
  /** Time at which the fraction last increased. */
  readonly progressAtMs: number;
}

/** Estimates from the rounds observed so far; immutable. */
export interface FleetEstimates {
  /** Time of the first observed round; undefined before it. */
  readonly startedAtMs: number | undefined;
  readonly absences: ReadonlyMap<string, Absence>;
  readonly histories: ReadonlyMap<string, AbsenceHistory>;
  readonly returnTimes: ReturnTimes;
  readonly loads: ReadonlyMap<string, RunningLoad>;
  /** Time at which an engine was last seen without weights. */
  readonly emptyAtMs: ReadonlyMap<string, number>;
  /** Mean duration of a load. */
  readonly loadMs: number;
  /** Number of loads in the mean. */
  readonly loadCount: number;
  /** Time at which any load last made progress, or no load ran. */
  readonly loadProgressAtMs: number;
  /** Fabric domains with an outage. */
  readonly outageDomains: ReadonlySet<string>;
  readonly stragglers: ReadonlyMap<string, Straggler>;
}

const DEFAULT_LOAD_MS = 60_000;
/** Minimum weight of a new load in the mean; the first loads weigh more. */
const MIN_LOAD_WEIGHT = 0.1;
/** Share of a domain's instances whose absence counts as a domain outage. */
const OUTAGE_SHARE = 0.5;
const MIN_OUTAGE_INSTANCES = 3;
/** Time after which the past absences of an instance are dropped. */
const HISTORY_RETENTION_MS = 3_600_000;
/** Quarantine after two absences; doubles with each further one. */
const FIRST_QUARANTINE_MS = 30_000;
const MAX_QUARANTINE_MS = 3_600_000;

/** The state before any round. */
export function emptyEstimates(): FleetEstimates {
  return {
    startedAtMs: undefined,
    absences: new Map(),
    histories: new Map(),
    returnTimes: emptyReturnTimes(),
    loads: new Map(),
    emptyAtMs: new Map(),
    loadMs: DEFAULT_LOAD_MS,
    loadCount: 0,
    loadProgressAtMs: 0,
    outageDomains: new Set(),
    stragglers: new Map(),
  };
}

/** Updates the estimates from one round. */
export function updateEstimates(
  before: FleetEstimates,
  observation: FleetObservation,
): FleetEstimates {
  const outageDomains = findOutageDomains(observation);
  const seen = {
    ...before,
    startedAtMs: before.startedAtMs ?? observation.nowMs,
    outageDomains,
    stragglers: updateStragglers(before.stragglers, observation),
  };
  return updateLoads(updateAbsences(seen, observation), observation);
}

/** Whether an instance is not used because it flaps or was a straggler. */
export function isQuarantined(
  estimates: FleetEstimates,
  { member, nowMs }: { readonly member: string; readonly nowMs: number },
): boolean {
  return nowMs < quarantinedUntilMs(estimates, member) ||
    isConfirmed(estimates.stragglers.get(member));
}

/** End of the quarantine, which doubles with each absence of the last hour. */
function quarantinedUntilMs(estimates: FleetEstimates, member: string): number {
  const history = estimates.histories.get(member);
  if (history === undefined || history.count < 2) return 0;
  const quarantineMs = FIRST_QUARANTINE_MS * 2 ** (history.count - 2);
  return history.returnedAtMs + Math.min(quarantineMs, MAX_QUARANTINE_MS);
}

/** Whether one load has stalled although the weight store has not. */
export function isLoadStuck(
  estimates: FleetEstimates,
  { member, nowMs }: { readonly member: string; readonly nowMs: number },
): boolean {
  const load = estimates.loads.get(member);
  return load !== undefined && !isStoreStalled(estimates, nowMs) &&
    nowMs - load.progressAtMs > estimates.loadMs;
}

/** Estimated duration of a load that starts now. */
export function estimateLoadMs(
  estimates: FleetEstimates,
  nowMs: number,
): number {
  if (!isStoreStalled(estimates, nowMs)) return estimates.loadMs;
  return estimates.loadMs + nowMs - estimates.loadProgressAtMs;
}

/** Whether loads run but none progressed for half a load's mean duration. */
export function isStoreStalled(
  estimates: FleetEstimates,
  nowMs: number,
): boolean {
  return estimates.loads.size > 0 &&
    nowMs - estimates.loadProgressAtMs > estimates.loadMs / 2;
}

function findOutageDomains(observation: FleetObservation): Set<string> {
  const totals = new Map<string, number>();
  const absents = new Map<string, number>();
  for (const { fabricDomain, instanceId, role } of observation.instances) {
    if (role !== "engine" || fabricDomain === undefined) continue;
    totals.set(fabricDomain, (totals.get(fabricDomain) ?? 0) + 1);
    if (isPresent(instanceId, observation)) continue;
    absents.set(fabricDomain, (absents.get(fabricDomain) ?? 0) + 1);
  }
  const outages = [...absents].filter(([domain, count]) =>
    count >= MIN_OUTAGE_INSTANCES && count > totals.get(domain)! * OUTAGE_SHARE
  );
  return new Set(outages.map(([domain]) => domain));
}

function updateAbsences(
  before: FleetEstimates,
  observation: FleetObservation,
): FleetEstimates {
  const { nowMs } = observation;
  const absences = new Map<string, Absence>();
  const histories = dropOldHistories(before.histories, nowMs);
  let { returnTimes } = before;
  for (const instance of observation.instances) {
    if (instance.role !== "engine") continue;
    const { instanceId, fabricDomain } = instance;
    const known = before.absences.get(instanceId);
    if (isPresent(instanceId, observation)) {
      if (known === undefined) continue;
      const count = (histories.get(instanceId)?.count ?? 0) + 1;
      if (!known.isDomainOutage) {
        histories.set(instanceId, { count, returnedAtMs: nowMs });
        if (holdsAssignment(instanceId, observation)) {
          returnTimes = noteReturned(returnTimes, known.bucket);
        }
      }
      continue;
    }
    const sinceMs = known?.sinceMs ?? nowMs;
    const isDomainOutage = known?.isDomainOutage === true ||
      before.outageDomains.has(fabricDomain ?? "");
    const bucket = findBucket(nowMs - sinceMs);
    const firstNew = known === undefined ? 0 : known.bucket + 1;
    for (let next = firstNew; next <= bucket && !isDomainOutage; next++) {
      returnTimes = noteReached(returnTimes, next);
    }
    absences.set(instanceId, { sinceMs, bucket, isDomainOutage });
  }
  return { ...before, absences, histories, returnTimes };
}

/**
 * Whether a returned instance still holds its assignment and weights, as it does
 * after a pause, so that it can serve at once.
 */
function holdsAssignment(
  member: string,
  { fleet, observations }: FleetObservation,
): boolean {
  const replica = Option.getOrUndefined(Option.flatMap(
    HashMap.get(fleet.replicaIdByMember, member),
    (replicaId) => HashMap.get(fleet.replicas, replicaId),
  ));
  const status = observations.get(member)?.status;
  if (status === undefined) return false;
  if (replica === undefined) return status.assignment !== undefined;
  return matchesReplica(status, replica) && status.state === "ready";
}

function dropOldHistories(
  histories: ReadonlyMap<string, AbsenceHistory>,
  nowMs: number,
): Map<string, AbsenceHistory> {
  const kept = [...histories].filter(([, { returnedAtMs }]) =>
    nowMs - returnedAtMs < HISTORY_RETENTION_MS
  );
  return new Map(kept);
}

function updateLoads(
  before: FleetEstimates,
  observation: FleetObservation,
): FleetEstimates {
  const { nowMs } = observation;
  const loads = new Map<string, RunningLoad>();
  const emptyAtMs = new Map<string, number>();
  let { loadMs, loadCount, loadProgressAtMs } = before;
  for (const [member, { status }] of observation.observations) {
    if (!isPresent(member, observation)) continue;
    const known = before.loads.get(member);
    if (isLoading(status)) {
      const load = continueLoad(known, status.loadedFraction ?? 0, nowMs);
      if (known !== undefined && load.fraction > known.fraction) {
        loadProgressAtMs = nowMs;
      }
      loads.set(member, load);
      continue;
    }
    if (!hasLoaded(status)) {
      emptyAtMs.set(member, nowMs);
      continue;
    }
    const startedAtMs = known?.sinceMs ?? before.emptyAtMs.get(member);
    if (startedAtMs === undefined) continue;
    const weight = Math.max(MIN_LOAD_WEIGHT, 1 / (loadCount + 1));
    loadMs += weight * (nowMs - startedAtMs - loadMs);
    loadCount += 1;
    loadProgressAtMs = nowMs;
  }
  if (loads.size === 0) loadProgressAtMs = nowMs;
  return { ...before, loads, emptyAtMs, loadMs, loadCount, loadProgressAtMs };
}

/** Whether a load has finished; false for an engine restarted during it. */
function hasLoaded({ state, loadedFraction }: EngineStatus): boolean {
  return state === "ready" || loadedFraction === 1;
}

function continueLoad(
  known: RunningLoad | undefined,
  fraction: number,
  nowMs: number,
): RunningLoad {
  if (known === undefined || fraction < known.fraction) {
    return { sinceMs: nowMs, fraction, progressAtMs: nowMs };
  }
  return fraction > known.fraction
    ? { ...known, fraction, progressAtMs: nowMs }
    : known;
}
