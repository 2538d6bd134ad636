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

/** An absence that has not ended. */
export interface Absence {
  readonly sinceMs: number;
  /** Last bucket of return times that it was counted in. */
  readonly bucket: number;
  /** Its whole fabric domain was gone; says nothing of single members. */
  readonly isDark: boolean;
}

/** Ended absences of one instance. */
export interface AbsenceHistory {
  readonly count: number;
  readonly returnedAtMs: number;
}

/** A load that has not ended. */
export interface RunningLoad {
  readonly sinceMs: number;
  readonly fraction: number;
  /** When the fraction last rose. */
  readonly progressAtMs: number;
}

/** What the rounds observed so far say of times; never changed in place. */
export interface FleetEstimates {
  /** When the first round was observed; undefined before it. */
  readonly startedAtMs: number | undefined;
  readonly absences: ReadonlyMap<string, Absence>;
  readonly histories: ReadonlyMap<string, AbsenceHistory>;
  readonly returnTimes: ReturnTimes;
  readonly loads: ReadonlyMap<string, RunningLoad>;
  /** When engines without any weights were last seen so. */
  readonly emptyAtMs: ReadonlyMap<string, number>;
  /** Mean time of a load. */
  readonly loadMs: number;
  /** Loads that the mean was taken from. */
  readonly loadCount: number;
  /** When any load last made progress, or none ran. */
  readonly loadProgressAtMs: number;
  readonly darkDomains: ReadonlySet<string>;
  readonly stragglers: ReadonlyMap<string, Straggler>;
}

const DEFAULT_LOAD_MS = 60_000;
/** Weight of a new load in the mean, once there were enough. */
const MIN_LOAD_WEIGHT = 0.1;
/** Share of a domain's instances whose absence makes it dark. */
const DARK_SHARE = 0.5;
const MIN_DARK_INSTANCES = 3;
/** Time after which an instance's absences are forgotten. */
const HISTORY_MS = 3_600_000;
const FIRST_HOLD_MS = 30_000;
const MAX_HOLD_MS = 3_600_000;

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
    darkDomains: new Set(),
    stragglers: new Map(),
  };
}

/** Learns from one round. */
export function updateEstimates(
  before: FleetEstimates,
  observation: FleetObservation,
): FleetEstimates {
  const darkDomains = findDarkDomains(observation);
  const seen = {
    ...before,
    startedAtMs: before.startedAtMs ?? observation.nowMs,
    darkDomains,
    stragglers: updateStragglers(before.stragglers, observation),
  };
  return updateLoads(updateAbsences(seen, observation), observation);
}

/** Whether an instance is kept back because it flaps or was a straggler. */
export function isHeldBack(
  estimates: FleetEstimates,
  { member, nowMs }: { readonly member: string; readonly nowMs: number },
): boolean {
  return nowMs < heldUntilMs(estimates, member) ||
    isConfirmed(estimates.stragglers.get(member));
}

/** Grows with each absence of the last hour. */
function heldUntilMs(estimates: FleetEstimates, member: string): number {
  const history = estimates.histories.get(member);
  if (history === undefined || history.count < 2) return 0;
  const holdMs = FIRST_HOLD_MS * 2 ** (history.count - 2);
  return history.returnedAtMs + Math.min(holdMs, MAX_HOLD_MS);
}

/** Whether one load stands still while others make progress. */
export function isLoadStuck(
  estimates: FleetEstimates,
  { member, nowMs }: { readonly member: string; readonly nowMs: number },
): boolean {
  const load = estimates.loads.get(member);
  return load !== undefined && !isStoreStalled(estimates, nowMs) &&
    nowMs - load.progressAtMs > estimates.loadMs;
}

/** Time that one load takes from now on. */
export function expectLoadMs(estimates: FleetEstimates, nowMs: number): number {
  if (!isStoreStalled(estimates, nowMs)) return estimates.loadMs;
  return estimates.loadMs + nowMs - estimates.loadProgressAtMs;
}

/** Whether loads run, but none has made progress for half a load's time. */
export function isStoreStalled(
  estimates: FleetEstimates,
  nowMs: number,
): boolean {
  return estimates.loads.size > 0 &&
    nowMs - estimates.loadProgressAtMs > estimates.loadMs / 2;
}

function findDarkDomains(observation: FleetObservation): Set<string> {
  const totals = new Map<string, number>();
  const absents = new Map<string, number>();
  for (const { fabricDomain, instanceId, role } of observation.instances) {
    if (role !== "engine" || fabricDomain === undefined) continue;
    totals.set(fabricDomain, (totals.get(fabricDomain) ?? 0) + 1);
    if (isPresent(instanceId, observation)) continue;
    absents.set(fabricDomain, (absents.get(fabricDomain) ?? 0) + 1);
  }
  const dark = [...absents].filter(([domain, count]) =>
    count >= MIN_DARK_INSTANCES && count > totals.get(domain)! * DARK_SHARE
  );
  return new Set(dark.map(([domain]) => domain));
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
      if (!known.isDark) {
        histories.set(instanceId, { count, returnedAtMs: nowMs });
        if (holdsAssignment(instanceId, observation)) {
          returnTimes = noteReturned(returnTimes, known.bucket);
        }
      }
      continue;
    }
    const sinceMs = known?.sinceMs ?? nowMs;
    const isDark = known?.isDark === true ||
      before.darkDomains.has(fabricDomain ?? "");
    const bucket = findBucket(nowMs - sinceMs);
    const firstNew = known === undefined ? 0 : known.bucket + 1;
    for (let next = firstNew; next <= bucket && !isDark; next++) {
      returnTimes = noteReached(returnTimes, next);
    }
    absences.set(instanceId, { sinceMs, bucket, isDark });
  }
  return { ...before, absences, histories, returnTimes };
}

/** Whether a returned member could serve at once, as after a pause. */
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
    nowMs - returnedAtMs < HISTORY_MS
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
      if (load.progressAtMs === nowMs) loadProgressAtMs = nowMs;
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

/** False for an engine that started anew in the middle of its load. */
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
