import { hashText } from "../routing/hash_text.ts";
import type { ServingTarget } from "./choose_target.ts";
import type { ColdTracker } from "./cold_tracker.ts";
import type { ColdStart } from "./serving_config.ts";

/** What all processes together may send a cold instance in any second. */
export interface ColdBounds {
  /** Factor on the rate of the instance. */
  readonly overshoot: number;
  /** Requests beside that. */
  readonly slackRequests: number;
}

/** Options of the allowance for cold instances. */
export interface ColdAllowanceOptions {
  readonly tracker: ColdTracker;
  readonly processId: string;
  readonly bounds: ColdBounds;
  /** Processes that share the rate; undefined while that isn't known. */
  readonly countProcesses: (nowMs: number) => number | undefined;
}

/** What the allowance needs to know of an instance. */
export type ColdTarget = Pick<
  ServingTarget,
  "instanceId" | "bornAtMs" | "cold"
>;

interface NextToken {
  readonly issuedAtMs: number;
  readonly intervalMs: number;
}

/** Part of an instance's rate that is shared at most. */
const RATE_PART = 0.75;
/** Deviations that tokens which bunch by chance may take up below the bound. */
const DEVIATIONS = 3.45;
/** Time after which a token expires, so that none are spent together. */
const TOKEN_LIFE_MS = 300;
/** A 32-bit hash as a part of 1. */
const HASH_RANGE = 2 ** 32;

/**
 * Which cold instances may get a request from this process. Each process issues
 * its part of an instance's rate at even times of its own, so that no counter
 * is shared. Whatever sends requests takes a token here.
 */
export class ColdRateLimiter {
  readonly #options: ColdAllowanceOptions;
  /** When the last spent token was issued, by instance. */
  readonly #spentAtMs = new Map<string, number>();
  /** Requests that wait for a token, by what they wait for. */
  readonly #waiters = new Map<string, Set<object>>();
  /** What each of them waits for. */
  readonly #queues = new Map<object, string>();

  constructor(options: ColdAllowanceOptions) {
    this.#options = options;
  }

  /** Whether an instance gets requests without a token. */
  isWarm({ instanceId, cold }: ColdTarget, nowMs: number): boolean {
    return cold === undefined ||
      this.#options.tracker.findSpell(instanceId, nowMs) === undefined;
  }

  /** Whether an instance isn't cold, or has a token. */
  maySend(target: ColdTarget, nowMs: number): boolean {
    return this.#findWaitMs(target, nowMs).waitMs <= 0;
  }

  /** Takes a token of an instance that is cold; false if it has none. */
  tryTake(target: ColdTarget, nowMs: number): boolean {
    const { waitMs, token } = this.#findWaitMs(target, nowMs);
    if (waitMs > 0) return false;
    if (token !== undefined) {
      this.#spentAtMs.set(target.instanceId, token.issuedAtMs);
    }
    return true;
  }

  /**
   * Time until one of some instances may get a request, after a number of
   * others that wait here as well.
   */
  waitMs(
    targets: readonly ColdTarget[],
    { ahead, nowMs }: { readonly ahead: number; readonly nowMs: number },
  ): number {
    let firstMs = Number.POSITIVE_INFINITY;
    let warmMs = Number.POSITIVE_INFINITY;
    let tokensPerMs = 0;
    for (const target of targets) {
      const { waitMs, remainingMs, token } = this.#findWaitMs(target, nowMs);
      firstMs = Math.min(firstMs, waitMs);
      warmMs = Math.min(warmMs, remainingMs);
      if (token !== undefined) tokensPerMs += 1 / token.intervalMs;
    }
    const othersMs = ahead === 0 ? 0 : ahead / tokensPerMs;
    return Math.min(warmMs, firstMs + othersMs);
  }

  /** Counts a request as waiting; returns how many wait before it. */
  enterWait(call: object, queue: string): number {
    this.#queues.set(call, queue);
    const waiters = this.#waiters.get(queue) ?? new Set();
    this.#waiters.set(queue, waiters.add(call));
    let ahead = 0;
    for (const waiter of waiters) {
      if (waiter === call) return ahead;
      ahead += 1;
    }
    return ahead;
  }

  /** Ends a request's wait, if it waits. */
  leaveWait(call: object): void {
    const queue = this.#queues.get(call);
    if (queue === undefined) return;
    this.#queues.delete(call);
    const waiters = this.#waiters.get(queue)!;
    waiters.delete(call);
    if (waiters.size === 0) this.#waiters.delete(queue);
  }

  /** Forgets instances that are gone. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const instanceId of this.#spentAtMs.keys()) {
      if (!isPresent(instanceId)) this.#spentAtMs.delete(instanceId);
    }
  }

  #findWaitMs(target: ColdTarget, nowMs: number): TokenWait {
    if (target.cold === undefined) return NO_WAIT;
    const { tracker } = this.#options;
    const spell = tracker.findSpell(target.instanceId, nowMs);
    if (spell === undefined) return NO_WAIT;
    const remainingMs = spell.untilMs - nowMs;
    const token = this.#findToken(target, spell.sinceMs, nowMs);
    if (token === undefined) return { waitMs: remainingMs, remainingMs };
    const waitMs = Math.min(remainingMs, Math.max(0, token.issuedAtMs - nowMs));
    return { waitMs, remainingMs, token };
  }

  /** The first token that is neither spent nor expired, now or later. */
  #findToken(
    { instanceId, bornAtMs, cold }: ColdTarget,
    sinceMs: number,
    nowMs: number,
  ): NextToken | undefined {
    const { processId, countProcesses, bounds } = this.#options;
    const processes = countProcesses(nowMs);
    const tokensPerSecond = findTokenRate(cold!, bounds);
    if (processes === undefined || tokensPerSecond <= 0) return undefined;
    const intervalMs = 1_000 * processes / tokensPerSecond;
    const key = JSON.stringify([processId, instanceId, bornAtMs]);
    const phaseMs = hashText(key) / HASH_RANGE * intervalMs;
    // Tokens from before the instance turned cold would be spent together.
    const afterMs = Math.max(
      nowMs - TOKEN_LIFE_MS,
      sinceMs,
      this.#spentAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY,
    );
    let index = Math.floor((afterMs - phaseMs) / intervalMs) + 1;
    // Rounding may give the token that was spent last once more.
    while (phaseMs + index * intervalMs <= afterMs) index += 1;
    return { issuedAtMs: phaseMs + index * intervalMs, intervalMs };
  }
}

/**
 * Tokens a second of all processes together. In a second those of 1.3 s may be
 * spent; their number deviates by its root, as the phases are chance.
 */
export function findTokenRate(
  { requestsPerSecond }: ColdStart,
  { overshoot, slackRequests }: ColdBounds,
): number {
  const bound = requestsPerSecond * overshoot + slackRequests;
  const root = (Math.sqrt(DEVIATIONS ** 2 + 4 * bound) - DEVIATIONS) / 2;
  const spentInSecond = 1 + TOKEN_LIFE_MS / 1_000;
  return Math.min(RATE_PART * requestsPerSecond, root ** 2 / spentInSecond);
}

interface TokenWait {
  readonly waitMs: number;
  /** Time until the instance is no longer cold. */
  readonly remainingMs: number;
  readonly token?: NextToken;
}

const NO_WAIT: TokenWait = { waitMs: 0, remainingMs: 0 };
