import { hashText } from "../routing/hash_text.ts";
import type { ServingTarget } from "./choose_target.ts";
import type { ColdTracker } from "./cold_tracker.ts";
import type { ColdStart } from "./serving_config.ts";

/** Limits on what all processes together send a cold instance in any second. */
export interface ColdBounds {
  /** Factor on the configured rate of the instance. */
  readonly overshoot: number;
  /** Requests allowed beside that. */
  readonly slackRequests: number;
}

/** Options of the rate limiter for cold instances. */
export interface ColdRateLimiterOptions {
  readonly tracker: ColdTracker;
  readonly processId: string;
  readonly bounds: ColdBounds;
  /** Number of processes that share the rate; undefined while unknown. */
  readonly countProcesses: (nowMs: number) => number | undefined;
}

/** The properties of an instance that the rate limiter uses. */
export type ColdTarget = Pick<
  ServingTarget,
  "instanceId" | "bornAtMs" | "cold"
>;

interface NextToken {
  readonly issuedAtMs: number;
  readonly intervalMs: number;
}

/** Maximum fraction of an instance's rate that is issued as tokens. */
const MAX_RATE_FRACTION = 0.75;
/** Standard deviations left below the bound, as tokens may coincide by chance. */
const DEVIATION_FACTOR = 3.45;
/** Time after which a token expires, so that tokens can't accumulate. */
const TOKEN_LIFETIME_MS = 300;
/** Number of values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32;

/**
 * Limits the rate of requests from this process to cold instances. Each process
 * issues its share of an instance's rate as tokens at a fixed interval with a
 * phase of its own, so that no counter is shared. Every request that is sent
 * takes a token from this limiter.
 */
export class ColdRateLimiter {
  readonly #options: ColdRateLimiterOptions;
  /** Issue time of the last spent token, by instance. */
  readonly #lastTokenAtMs = new Map<string, number>();
  /** Calls that wait for a token, by queue, in order of arrival. */
  readonly #callsByQueue = new Map<string, Set<object>>();
  /** Queue of each waiting call. */
  readonly #queueByCall = new Map<object, string>();

  constructor(options: ColdRateLimiterOptions) {
    this.#options = options;
  }

  /** Whether an instance isn't cold, so that requests need no token. */
  isWarm({ instanceId, cold }: ColdTarget, nowMs: number): boolean {
    return cold === undefined ||
      this.#options.tracker.findColdPeriod(instanceId, nowMs) === undefined;
  }

  /** Whether an instance isn't cold, or a token for it is available. */
  maySend(target: ColdTarget, nowMs: number): boolean {
    return this.#findWaitMs(target, nowMs).waitMs <= 0;
  }

  /** Takes a token if the instance is cold; returns false if there is none. */
  tryTakeToken(target: ColdTarget, nowMs: number): boolean {
    const { waitMs, token } = this.#findWaitMs(target, nowMs);
    if (waitMs > 0) return false;
    if (token !== undefined) {
      this.#lastTokenAtMs.set(target.instanceId, token.issuedAtMs);
    }
    return true;
  }

  /**
   * Estimates the time until one of the targets may be sent a request, with
   * `ahead` other requests waiting before it.
   */
  estimateWaitMs(
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

  /** Adds a call to a queue; returns how many calls wait before it. */
  enterQueue(call: object, queue: string): number {
    this.#queueByCall.set(call, queue);
    const calls = this.#callsByQueue.get(queue) ?? new Set();
    this.#callsByQueue.set(queue, calls.add(call));
    let ahead = 0;
    for (const waitingCall of calls) {
      if (waitingCall === call) return ahead;
      ahead += 1;
    }
    return ahead;
  }

  /** Removes a call from its queue, if it is in one. */
  leaveQueue(call: object): void {
    const queue = this.#queueByCall.get(call);
    if (queue === undefined) return;
    this.#queueByCall.delete(call);
    const calls = this.#callsByQueue.get(queue)!;
    calls.delete(call);
    if (calls.size === 0) this.#callsByQueue.delete(queue);
  }

  /** Removes instances that are gone. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const instanceId of this.#lastTokenAtMs.keys()) {
      if (!isPresent(instanceId)) this.#lastTokenAtMs.delete(instanceId);
    }
  }

  #findWaitMs(target: ColdTarget, nowMs: number): TokenWait {
    if (target.cold === undefined) return NO_WAIT;
    const { tracker } = this.#options;
    const period = tracker.findColdPeriod(target.instanceId, nowMs);
    if (period === undefined) return NO_WAIT;
    const remainingMs = period.untilMs - nowMs;
    const token = this.#findToken(target, period.sinceMs, nowMs);
    if (token === undefined) return { waitMs: remainingMs, remainingMs };
    const waitMs = Math.min(remainingMs, Math.max(0, token.issuedAtMs - nowMs));
    return { waitMs, remainingMs, token };
  }

  /** Returns the first token, issued or future, that is not spent or expired. */
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
    // Tokens from before the instance turned cold could all be spent at once.
    const afterMs = Math.max(
      nowMs - TOKEN_LIFETIME_MS,
      sinceMs,
      this.#lastTokenAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY,
    );
    let index = Math.floor((afterMs - phaseMs) / intervalMs) + 1;
    // Rounding may yield the last spent token again.
    while (phaseMs + index * intervalMs <= afterMs) index += 1;
    return { issuedAtMs: phaseMs + index * intervalMs, intervalMs };
  }
}

/**
 * Returns the tokens per second of all processes together. The tokens of 1.3 s
 * may be spent within one second. Their number has a standard deviation of its
 * square root, as the phases are random.
 */
export function findTokenRate(
  { requestsPerSecond }: ColdStart,
  { overshoot, slackRequests }: ColdBounds,
): number {
  const bound = requestsPerSecond * overshoot + slackRequests;
  const root =
    (Math.sqrt(DEVIATION_FACTOR ** 2 + 4 * bound) - DEVIATION_FACTOR) / 2;
  const spendableSeconds = 1 + TOKEN_LIFETIME_MS / 1_000;
  return Math.min(
    MAX_RATE_FRACTION * requestsPerSecond,
    root ** 2 / spendableSeconds,
  );
}

interface TokenWait {
  readonly waitMs: number;
  /** Time until the instance is no longer cold. */
  readonly remainingMs: number;
  readonly token?: NextToken;
}

const NO_WAIT: TokenWait = { waitMs: 0, remainingMs: 0 };
