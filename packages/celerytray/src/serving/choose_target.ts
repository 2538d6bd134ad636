import type { ColdStart } from "./serving_config.ts";
import type { LoadTracker } from "./load_tracker.ts";

/** An instance that takes requests: plain, or the head of a replica. */
export interface ServingTarget {
  readonly instanceId: string;
  /** IP:PORT. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  /** Epoch of the replica that it heads; 0 for plain instances. */
  readonly epoch: number;
  /** Start of the incarnation that is listed, as Unix time. */
  readonly bornAtMs?: number;
  /** Bounds while it is cold; undefined where it never is. */
  readonly cold?: ColdStart;
}

/** What the choice looks at. */
export interface TargetChoice {
  readonly targets: readonly ServingTarget[];
  readonly loads: LoadTracker;
  readonly zone: string;
  /** Whether an instance asked for time, in which nothing may go there. */
  readonly isBackingOff: (instanceId: string) => boolean;
  /** Whether it isn't cold, or has a token of this process. */
  readonly maySend: (target: ServingTarget) => boolean;
  /** Whether an instance is silent towards all requests it has from here. */
  readonly isSilent: (instanceId: string) => boolean;
  /** Whether its streams take far longer than usual. */
  readonly isSlow: (target: ServingTarget) => boolean;
  /** Whether a connection to an address is open and unused. */
  readonly hasConnection: (address: string) => boolean;
  /** Instances that already had the request. */
  readonly tried: ReadonlySet<string>;
  readonly nowMs: number;
  /** 0 to 1. */
  readonly random: () => number;
}

/** Extra load that another zone is worth, in parts of the slots. */
const OTHER_ZONE_COST = 0.05;
/** Extra load that a new connection is worth, in parts of the slots. */
const NEW_CONNECTION_COST = 0.08;
/** Extra load that a failure share of 1 is worth, in parts of the slots. */
const FAILURE_COST = 3;
/** Differences below this are decided by chance. */
const TIE_SPREAD = 0.04;

/** Picks the least loaded target, undefined if none may get the request. */
export function chooseTarget(choice: TargetChoice): ServingTarget | undefined {
  const { loads, nowMs, tried } = choice;
  const untried = choice.targets.filter((target) =>
    !tried.has(target.instanceId) && !choice.isBackingOff(target.instanceId) &&
    choice.maySend(target)
  );
  const preferred = untried.filter((target) => isPreferred(target, choice));
  let best: ServingTarget | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const target of preferred.length > 0 ? preferred : untried) {
    const { instanceId } = target;
    const cost = loads.estimate(instanceId, nowMs) / target.slots +
      loads.failureShare(instanceId, nowMs) * FAILURE_COST +
      (target.zone === choice.zone ? 0 : OTHER_ZONE_COST) +
      (choice.hasConnection(target.address) ? 0 : NEW_CONNECTION_COST) +
      choice.random() * TIE_SPREAD;
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return best;
}

/** Whether nothing speaks against a target but its load. */
export function isPreferred(
  target: ServingTarget,
  { loads, isSilent, isSlow, nowMs }: TargetChoice,
): boolean {
  const { instanceId } = target;
  return !loads.isAvoided(instanceId, nowMs) && !isSilent(instanceId) &&
    !isSlow(target);
}
