import { Effect } from "effect";
import type { PeerCalls, PeerNode } from "./peer_router.ts";

/** Wait of each further process before it takes the lead. */
const RANK_DELAY_MS = 120;

/** Longest wait without a look whether another process has taken the lead. */
const LOOK_INTERVAL_MS = 1_000;

/** What the wait for a process's turn to take the lead came to. */
export interface LeadTurn {
  readonly rank: number;
  /** Whether another process has taken the lead meanwhile. */
  readonly isTaken: boolean;
}

/** Waits until it is a process's turn to take the lead, or another has. */
export function awaitTurn(options: {
  readonly nodeId: string;
  /** All processes but the lead. */
  readonly others: readonly PeerNode[];
  readonly isTaken: Effect.Effect<boolean>;
}): Effect.Effect<LeadTurn> {
  const ranked = options.others.map(({ nodeId }) => nodeId).sort();
  const rank = Math.max(0, ranked.indexOf(options.nodeId));
  return Effect.gen(function* () {
    let remainingMs = rank * RANK_DELAY_MS;
    while (remainingMs > 0) {
      const waitMs = Math.min(remainingMs, LOOK_INTERVAL_MS);
      yield* Effect.sleep(waitMs);
      remainingMs -= waitMs;
      if (remainingMs > 0 && (yield* options.isTaken)) {
        return { rank, isTaken: true };
      }
    }
    return { rank, isTaken: false };
  });
}

/** Whether another process had an answer of the lead within a time. */
export function isHeardByOthers(options: {
  readonly client: PeerCalls;
  readonly term: number;
  readonly others: readonly PeerNode[];
  readonly boundMs: number;
}): Effect.Effect<boolean> {
  const { client, term, others, boundMs } = options;
  const ask = ({ peerAddress }: PeerNode) =>
    client.heardLead(peerAddress, term).pipe(
      // A process that doesn't answer says nothing about the lead.
      Effect.catch(() => Effect.succeed(null)),
    );
  return Effect.forEach(others, ask, { concurrency: "unbounded" }).pipe(
    Effect.map((ages) =>
      ages.some((ageMs) => ageMs !== null && ageMs < boundMs)
    ),
  );
}
