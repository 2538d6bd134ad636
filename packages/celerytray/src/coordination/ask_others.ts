import { Effect } from "effect";
import type { InstanceAddress, Reaches } from "../groups/index.ts";
import type { PeerNode } from "./peer_messages.ts";
import type { PeerCalls } from "./peer_router.ts";

/** Dependencies of `askOthers`. */
export interface AskOthersOptions {
  readonly self: PeerNode;
  /** Processes that can be asked. */
  readonly others: readonly PeerNode[];
  readonly client: Pick<PeerCalls, "reach">;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** Number of processes that are asked. */
const MAX_ASKED = 2;

/**
 * Asks other processes, of other zones first, whether they reach instances;
 * leaves out those that don't answer.
 */
export function askOthers(
  instances: readonly InstanceAddress[],
  options: AskOthersOptions,
): Effect.Effect<readonly Reaches[]> {
  const ask = ({ peerAddress }: PeerNode) =>
    options.client.reach(peerAddress, instances).pipe(
      Effect.match({
        onSuccess: (reaches) => [reaches],
        onFailure: () => [],
      }),
    );
  return Effect.map(
    Effect.forEach(selectAsked(options), ask, { concurrency: MAX_ASKED }),
    (answers) => answers.flat(),
  );
}

function selectAsked(
  { self, others, random }: AskOthersOptions,
): readonly PeerNode[] {
  const ranked = others.map((node) => ({
    node,
    rank: random() + (node.zone === self.zone ? 1 : 0),
  }));
  return ranked.sort((one, other) => one.rank - other.rank)
    .slice(0, MAX_ASKED).map(({ node }) => node);
}
