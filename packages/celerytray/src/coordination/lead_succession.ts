import { Effect } from "effect";
import type { PeerCalls, PeerNode } from "./peer_router.ts";

/** Wait of each further process before it takes the lead. */
const RANK_DELAY_MS = 120;

/** Waits until it is a process's turn to take the lead; its rank. */
export function awaitTurn(options: {
  readonly nodeId: string;
  /** All processes but the lead. */
  readonly others: readonly PeerNode[];
}): Effect.Effect<number> {
  const ranked = options.others.map(({ nodeId }) => nodeId).sort();
  const rank = Math.max(0, ranked.indexOf(options.nodeId));
  return Effect.as(Effect.sleep(rank * RANK_DELAY_MS), rank);
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
