import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { PeerNode } from "./peer_messages.ts";
import type { PeerCalls } from "./peer_router.ts";

/** Wait of each further relay before it takes the lead. */
const RANK_DELAY_MS = 120;
/** Wait of a process with one core that is no relay; less able ones wait longer. */
const CORE_DELAY_MS = 150;
/** Longest wait of the least able processes. */
const MAX_CORE_DELAY_MS = 600;
/** Time over which equally able processes spread. */
const SPREAD_MS = 150;
/** Shortest time between two looks for another lead. */
const LOOK_GAP_MS = 100;
/** Relays that are asked whether they hear the lead. */
const MAX_ASKED = 5;

/** What a process's wait before it takes the lead is computed from. */
export interface TurnOptions {
  readonly self: PeerNode;
  /** All relays but the lead that is replaced, the most able first. */
  readonly relays: readonly PeerNode[];
  /** 0 to 1. */
  readonly chance: number;
}

/** Wait before a process takes the lead; the most able processes go first. */
export function turnDelayMs(
  { self, relays, chance }: TurnOptions,
): number {
  const rank = relays.findIndex(({ nodeId }) => nodeId === self.nodeId);
  if (rank >= 0) return rank * RANK_DELAY_MS;
  const coreDelayMs = CORE_DELAY_MS / Math.max(Number.EPSILON, self.cores);
  return relays.length * RANK_DELAY_MS +
    Math.min(MAX_CORE_DELAY_MS, coreDelayMs) + chance * SPREAD_MS;
}

/** Waits for a time, or until another process has taken the lead; whether it has. */
export function awaitTurn(options: {
  readonly delayMs: number;
  /** Waits until another process takes the lead, up to a time. */
  readonly awaitTaken: (waitMs: number) => Effect.Effect<boolean>;
}): Effect.Effect<boolean> {
  return Effect.gen(function* () {
    const endsAtMs = (yield* steadyMs) + options.delayMs;
    while (true) {
      const remainingMs = endsAtMs - (yield* steadyMs);
      if (remainingMs <= 0) return false;
      if (yield* options.awaitTaken(Math.ceil(remainingMs))) return true;
      // Records that tell of no lead, and a topic without any, end it early.
      const leftMs = endsAtMs - (yield* steadyMs);
      if (leftMs > 0) {
        yield* Effect.sleep(Math.ceil(Math.min(leftMs, LOOK_GAP_MS)));
      }
    }
  });
}

/** Whether another process has heard the lead of a term within a time. */
export function isHeardByOthers(options: {
  readonly client: PeerCalls;
  readonly term: number;
  readonly others: readonly PeerNode[];
  readonly boundMs: number;
}): Effect.Effect<boolean> {
  const { client, term, boundMs } = options;
  const ask = ({ peerAddress }: PeerNode) =>
    client.heardLead(peerAddress, term).pipe(
      // A process that doesn't answer says nothing about the lead.
      Effect.catch(() => Effect.succeed(null)),
    );
  const asked = options.others.slice(0, MAX_ASKED);
  return Effect.forEach(asked, ask, { concurrency: MAX_ASKED }).pipe(
    Effect.map((ages) =>
      ages.some((ageMs) => ageMs !== null && ageMs < boundMs)
    ),
  );
}
