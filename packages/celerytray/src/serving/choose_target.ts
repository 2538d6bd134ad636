import type { ColdStart } from "./serving_config.ts";
import type { LoadTracker } from "./load_tracker.ts";

/** An instance that takes requests: a plain one, or the head of a replica. */
export interface ServingTarget {
  readonly instanceId: string;
  /** IP:PORT. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  /** Epoch of the replica that it heads; 0 for plain instances. */
  readonly epoch: number;
  /** Unix time at which the listed incarnation started. */
  readonly bornAtMs?: number;
  /** Limits while it is cold; undefined if it never is. */
  readonly cold?: ColdStart;
}

/** Inputs to the choice of a target. */
export interface TargetChoice {
  readonly targets: readonly ServingTarget[];
  readonly loads: LoadTracker;
  readonly zone: string;
  /** Whether an instance requested a back-off that has not expired. */
  readonly isBackingOff: (instanceId: string) => boolean;
  /** Whether it isn't cold, or this process has a token for it. */
  readonly maySend: (target: ServingTarget) => boolean;
  /**
   * Whether an instance makes no progress on any request from this process, or
   * the leader finds a member of its replica silent.
   */
  readonly isSilent: (instanceId: string) => boolean;
  /** Whether a request is in progress there that may crash it. */
  readonly hasSuspect: (instanceId: string) => boolean;
  /** Whether its streams are much slower than usual for their model. */
  readonly isSlow: (target: ServingTarget) => boolean;
  /** Whether an idle connection to an address is open. */
  readonly hasConnection: (address: string) => boolean;
  /** Time in which a target reads the prompts that this process sent before. */
  readonly readDelayMs: (target: ServingTarget) => number;
  /** Latency target of the request. */
  readonly targetMs: number;
  /** Whether the request was already sent to a target. */
  readonly isTried: (target: ServingTarget) => boolean;
  readonly nowMs: number;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/** Cost of another zone, as a fraction of the slots. */
const OTHER_ZONE_COST = 0.05;
/** Cost of a new connection, as a fraction of the slots. */
const NEW_CONNECTION_COST = 0.08;
/** Cost of a failure rate of 1, as a fraction of the slots. */
const FAILURE_COST = 3;
/**
 * Upper limit of the cost of prompts ahead, so that a caller that states an
 * absurd number of tokens makes a head look full at worst.
 */
const MAX_READ_COST = 1;
/** Cost differences below this are decided at random. */
const TIE_SPREAD = 0.04;

/**
 * Picks the target of the least cost; undefined if none may get the request.
 * Load counts as a fraction of the slots, and the reading of prompts that are
 * ahead as a fraction of the target time.
 */
export function chooseTarget(choice: TargetChoice): ServingTarget | undefined {
  const { loads, nowMs } = choice;
  const untried = choice.targets.filter((target) =>
    !choice.isTried(target) && !choice.isBackingOff(target.instanceId) &&
    choice.maySend(target)
  );
  const preferred = untried.filter((target) => isPreferred(target, choice));
  let best: ServingTarget | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const target of preferred.length > 0 ? preferred : untried) {
    const { instanceId } = target;
    const cost = loads.estimate(instanceId, nowMs) / target.slots +
      loads.failureRate(instanceId, nowMs) * FAILURE_COST +
      (target.zone === choice.zone ? 0 : OTHER_ZONE_COST) +
      (choice.hasConnection(target.address) ? 0 : NEW_CONNECTION_COST) +
      Math.min(MAX_READ_COST, choice.readDelayMs(target) / choice.targetMs) +
      choice.random() * TIE_SPREAD;
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return best;
}

/**
 * Whether a target is neither avoided nor silent nor slow, and has no request
 * that may crash it.
 */
export function isPreferred(
  target: ServingTarget,
  { loads, isSilent, isSlow, hasSuspect, nowMs }: TargetChoice,
): boolean {
  const { instanceId } = target;
  return !hasSuspect(instanceId) && !loads.isAvoided(instanceId, nowMs) &&
    !isSilent(instanceId) &&
    !isSlow(target);
}
