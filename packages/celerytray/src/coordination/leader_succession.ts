import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { PeerNode } from "./peer_messages.ts";
import type { PeerCalls } from "./peer_router.ts";

/** Additional delay per rank of a relay before it claims leadership. */
const RANK_DELAY_MS = 120;
/**
 * Delay of a process with one core that is not a relay. Processes with fewer
 * cores wait longer.
 */
const CORE_DELAY_MS = 150;
/** Longest core-dependent delay, for processes with the fewest cores. */
const MAX_CORE_DELAY_MS = 600;
/**
 * Range of the random delay that separates processes with equally many cores.
 */
const MAX_JITTER_MS = 150;
/**
 * Additional delay of a process that reaches no instances, so that one that does
 * goes first.
 */
const LOST_LINKS_DELAY_MS = 1_500;
/** Shortest time between two checks for a successor. */
const MIN_CHECK_INTERVAL_MS = 100;
/** Number of relays asked for the age of their leader status. */
const MAX_QUERIED_RELAYS = 5;

/** Inputs of a process's delay before it claims leadership. */
export interface TakeoverDelayOptions {
  readonly self: PeerNode;
  /**
   * All relays except the leader to be replaced, in order of decreasing cores.
   */
  readonly relays: readonly PeerNode[];
  /** Random number from 0 to 1. */
  readonly jitterFraction: number;
  /** Whether this process has lost its links to the instances. */
  readonly hasLostLinks: boolean;
}

/**
 * Delay before a process claims leadership. Processes with the most cores go
 * first.
 */
export function takeoverDelayMs(
  { self, relays, jitterFraction, hasLostLinks }: TakeoverDelayOptions,
): number {
  const linksDelayMs = hasLostLinks ? LOST_LINKS_DELAY_MS : 0;
  const rank = relays.findIndex(({ nodeId }) => nodeId === self.nodeId);
  if (rank >= 0) return linksDelayMs + rank * RANK_DELAY_MS;
  const coreDelayMs = CORE_DELAY_MS / Math.max(Number.EPSILON, self.cores);
  return linksDelayMs + relays.length * RANK_DELAY_MS +
    Math.min(MAX_CORE_DELAY_MS, coreDelayMs) + jitterFraction * MAX_JITTER_MS;
}

/**
 * Waits for a delay; succeeds early with true if another process has claimed
 * leadership.
 */
export function awaitTakeoverDelay(options: {
  readonly delayMs: number;
  /** Waits until another process claims leadership, at most `waitMs`. */
  readonly awaitSuccessor: (waitMs: number) => Effect.Effect<boolean>;
}): Effect.Effect<boolean> {
  return Effect.gen(function* () {
    const endsAtMs = (yield* steadyMs) + options.delayMs;
    while (true) {
      const remainingMs = endsAtMs - (yield* steadyMs);
      if (remainingMs <= 0) return false;
      if (yield* options.awaitSuccessor(Math.ceil(remainingMs))) return true;
      // Other records in the topic, and a topic without any, end a check early.
      const restMs = endsAtMs - (yield* steadyMs);
      if (restMs > 0) {
        yield* Effect.sleep(Math.ceil(Math.min(restMs, MIN_CHECK_INTERVAL_MS)));
      }
    }
  });
}

/**
 * Whether another process has a status of the leader of `term` that is newer
 * than `maxAgeMs`.
 */
export function isHeardByOthers(options: {
  readonly client: PeerCalls;
  readonly term: number;
  readonly others: readonly PeerNode[];
  readonly maxAgeMs: number;
}): Effect.Effect<boolean> {
  const { client, term, maxAgeMs } = options;
  const queryAgeMs = ({ peerAddress }: PeerNode) =>
    client.heardLead(peerAddress, term).pipe(
      // A process that doesn't respond gives no evidence of the leader.
      Effect.catch(() => Effect.succeed(null)),
    );
  const queried = options.others.slice(0, MAX_QUERIED_RELAYS);
  return Effect.forEach(queried, queryAgeMs, {
    concurrency: MAX_QUERIED_RELAYS,
  }).pipe(
    Effect.map((ages) =>
      ages.some((ageMs) => ageMs !== null && ageMs < maxAgeMs)
    ),
  );
}
