import type { ArrivalGroup } from "./offline_bound.ts";
import type { SimulatedRequest } from "./simulated_process.ts";

/** A kind of requests, by priority, target time and value. */
export interface SimulatedRequestKind {
  readonly priority: number;
  readonly targetMs: number;
  readonly onTimeValue: number;
  readonly lateValue: number;
  readonly tokens: number;
  /** Fraction of all requests. */
  readonly fraction: number;
}

/** A request that arrived in the simulation. */
export interface Arrival extends SimulatedRequest {
  readonly kind: SimulatedRequestKind;
  readonly firstArrivedAtMs: number;
}

/** Total value of the requests that were served. */
export function servedValue(all: readonly Arrival[]): number {
  return all.reduce((sum, one) => sum + valueOf(one), 0);
}

/** Fraction of the offered value that is served per organisation, ascending. */
export function listTenantValueFractions(
  all: readonly Arrival[],
  tenantCount: number,
): readonly number[] {
  return Array.from({ length: tenantCount }, (_, tenant) => {
    const own = all.filter((one) => one.tenant === `t-${tenant}`);
    const offeredValue = own.reduce(
      (sum, { kind }) => sum + kind.onTimeValue,
      0,
    );
    return servedValue(own) / offeredValue;
  }).sort((a, b) => a - b);
}

/** Merges the work of arrivals with the same window, density and slack. */
export function mergeArrivals(
  all: readonly Arrival[],
  toGroup: (one: Arrival) => ArrivalGroup,
): readonly ArrivalGroup[] {
  const groups = new Map<string, ArrivalGroup>();
  for (const one of all) {
    const arrivals = toGroup(one);
    const { window, density, slackWindows } = arrivals;
    const key = `${window} ${density} ${slackWindows}`;
    const work = arrivals.work + (groups.get(key)?.work ?? 0);
    groups.set(key, { ...arrivals, work });
  }
  return [...groups.values()];
}

function isOnTime(
  { firstTokenAtMs, firstArrivedAtMs, kind }: Arrival,
): boolean {
  return firstTokenAtMs !== undefined &&
    firstTokenAtMs - firstArrivedAtMs <= kind.targetMs;
}

function valueOf(one: Arrival): number {
  if (!one.isDone) return 0;
  return isOnTime(one) ? one.kind.onTimeValue : one.kind.lateValue;
}

/** Fraction on time of the requests that arrive between two times. */
export function onTimeFraction(
  all: readonly Arrival[],
  fromMs: number,
  toMs: number,
): number {
  const inRange = all.filter(({ firstArrivedAtMs }) =>
    firstArrivedAtMs >= fromMs && firstArrivedAtMs < toMs
  );
  return inRange.filter(isOnTime).length / inRange.length;
}

export function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
