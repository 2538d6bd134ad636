import type { ConfigSet } from "@celerytray/schema";
import { HashMap, Option } from "effect";
import type { AddressedOrder } from "./create_orders.ts";
import type { FleetState, Replica } from "./fold_fleet_record.ts";
import { groupBy } from "../collections/index.ts";
import {
  hasWeights,
  isLoading,
  type MemberObservation,
} from "./replica_health.ts";

/** Input of `selectOrders`. */
export interface OrderSelection {
  readonly orders: readonly AddressedOrder[];
  readonly config: ConfigSet;
  readonly fleet: FleetState;
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly domainOf: (instanceId: string) => string;
  readonly nowMs: number;
  /** Maximum number of concurrent weight loads over the whole fleet. */
  readonly maxConcurrentLoads: number;
}

interface RankedLoad {
  readonly order: AddressedOrder;
  readonly gain: number;
  readonly domain: string;
}

/** Age of an observation above which its load counts as finished. */
const RUNNING_LOAD_MAX_AGE_MS = 5_000;

/**
 * Orders to send now: all that need no load, and loads up to the limit of
 * concurrent ones. Loads alternate between fabric domains and are taken by
 * expected gain within each.
 */
export function selectOrders(selection: OrderSelection): AddressedOrder[] {
  const immediate: AddressedOrder[] = [];
  const loads: AddressedOrder[] = [];
  for (const order of selection.orders) {
    const needed = needsLoad(order, selection);
    (needed ? loads : immediate).push(order);
  }
  const running = countRunningLoads(selection);
  let runningCount = 0;
  for (const count of running.values()) runningCount += count;
  const capacity = selection.maxConcurrentLoads - runningCount;
  if (capacity <= 0 || loads.length === 0) return immediate;
  const ranked = rankLoads(loads, selection);
  return [...immediate, ...takeRoundRobin(ranked, { running, capacity })];
}

function needsLoad(
  { order, instanceId }: AddressedOrder,
  { observations }: OrderSelection,
): boolean {
  if (order.kind === "release") return false;
  const status = observations.get(instanceId)?.status;
  const { model = "", modelVersion, rank = 0 } = order;
  return status === undefined || !hasWeights(status, {
    model,
    rank,
    ...(modelVersion === undefined ? {} : { modelVersion }),
  });
}

/**
 * Counts the running loads by domain. Loads of engines that were not seen
 * recently are ignored, so that they do not block others.
 */
function countRunningLoads(selection: OrderSelection): Map<string, number> {
  const running = new Map<string, number>();
  for (const [instanceId, seen] of selection.observations) {
    const ageMs = selection.nowMs - seen.observedAtMs;
    if (!isLoading(seen.status) || ageMs > RUNNING_LOAD_MAX_AGE_MS) continue;
    const domain = selection.domainOf(instanceId);
    running.set(domain, (running.get(domain) ?? 0) + 1);
  }
  return running;
}

function rankLoads(
  loads: readonly AddressedOrder[],
  selection: OrderSelection,
): RankedLoad[] {
  const loadsByReplica = groupBy(loads, ({ order }) => order.replicaId);
  return loads.map((order) => {
    const { replicaId } = order.order;
    const remaining = loadsByReplica.get(replicaId)!.length;
    const replica = Option.getOrUndefined(
      HashMap.get(selection.fleet.replicas, replicaId ?? ""),
    );
    const gain = replica === undefined
      ? 0
      : replicaGain(replica, selection.config) / remaining;
    return { order, gain, domain: selection.domainOf(order.instanceId) };
  });
}

/** Gain from a serving replica by the weighting of its deployment. */
function replicaGain(
  { service: name, members, slot }: Replica,
  { services, deployments }: ConfigSet,
): number {
  const service = services[name];
  if (service?.kind !== "model") return 0;
  const { weighting } = deployments[service.deployment]!;
  const gain = weighting === "stranded-accelerators" ? members.length : 1;
  return slot < service.replicaCount ? gain : gain / EXTRA_REPLICA_DIVISOR;
}

/** Makes replicas beyond the wanted number load last. */
const EXTRA_REPLICA_DIVISOR = 1_000;

function takeRoundRobin(
  loads: readonly RankedLoad[],
  { running, capacity }: {
    readonly running: ReadonlyMap<string, number>;
    readonly capacity: number;
  },
): AddressedOrder[] {
  const byDomain = groupBy(loads, ({ domain }) => domain);
  const counts = new Map<string, number>();
  for (const [domain, queue] of byDomain) {
    queue.sort((a, b) => b.gain - a.gain);
    counts.set(domain, running.get(domain) ?? 0);
  }
  const taken: AddressedOrder[] = [];
  while (taken.length < capacity && byDomain.size > 0) {
    const domain = findNextDomain(byDomain, counts);
    const queue = byDomain.get(domain)!;
    taken.push(queue.shift()!.order);
    counts.set(domain, counts.get(domain)! + 1);
    if (queue.length === 0) byDomain.delete(domain);
  }
  return taken;
}

/** The domain with the fewest loads; on a tie, that with the highest gain. */
function findNextDomain(
  byDomain: ReadonlyMap<string, readonly RankedLoad[]>,
  counts: ReadonlyMap<string, number>,
): string {
  const domains = [...byDomain.keys()];
  return domains.reduce((best, domain) => {
    const difference = counts.get(domain)! - counts.get(best)!;
    if (difference !== 0) return difference < 0 ? domain : best;
    const gain = byDomain.get(domain)![0]!.gain;
    return gain > byDomain.get(best)![0]!.gain ? domain : best;
  });
}
