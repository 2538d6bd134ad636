import type { BoundArrivals } from "./offline_bound.ts";
import type { SimulatedRequest } from "./simulated_process.ts";

/** A kind of requests. */
export interface SimulatedKind {
  readonly priority: number;
  readonly targetMs: number;
  readonly onTimeValue: number;
  readonly lateValue: number;
  readonly tokens: number;
  /** Part of all requests. */
  readonly part: number;
}

/** A request that arrived in a simulation. */
export interface Arrival extends SimulatedRequest {
  readonly kind: SimulatedKind;
  readonly firstArrivedAtMs: number;
}

/** Value served. */
export function sumValue(all: readonly Arrival[]): number {
  return all.reduce((sum, one) => sum + valueOf(one), 0);
}

/** Value served in parts of the value asked, by organisation, least first. */
export function listTenantShares(
  all: readonly Arrival[],
  tenants: number,
): readonly number[] {
  return Array.from({ length: tenants }, (_, tenant) => {
    const own = all.filter((one) => one.tenant === `t-${tenant}`);
    const asked = own.reduce((sum, { kind }) => sum + kind.onTimeValue, 0);
    return sumValue(own) / asked;
  }).sort((a, b) => a - b);
}

/** Adds up what arrives in the same window with the same bounds. */
export function groupArrivals(
  all: readonly Arrival[],
  toArrivals: (one: Arrival) => BoundArrivals,
): readonly BoundArrivals[] {
  const groups = new Map<string, BoundArrivals>();
  for (const one of all) {
    const arrivals = toArrivals(one);
    const { window, density, patience } = arrivals;
    const key = `${window} ${density} ${patience}`;
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

/** Part on time of what arrives between two times. */
export function onTimePart(
  all: readonly Arrival[],
  fromMs: number,
  toMs: number,
): number {
  const some = all.filter(({ firstArrivedAtMs }) =>
    firstArrivedAtMs >= fromMs && firstArrivedAtMs < toMs
  );
  return some.filter(isOnTime).length / some.length;
}

/** Mean of some values. */
export function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
