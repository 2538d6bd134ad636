import { Effect } from "effect";
import type { InstanceControl } from "../groups/index.ts";
import { AliveCheck } from "../serving/index.ts";

/**
 * Creates the check of instances that lost a request. One that takes a connection
 * lives, even if it resets it, as those do that have too many.
 */
export function createAliveCheck(
  control: Pick<InstanceControl, "probe">,
): AliveCheck {
  return new AliveCheck({
    probe: ({ instanceId: id, address }) =>
      control.probe({ id, address }).pipe(
        Effect.match({
          onSuccess: () => true,
          onFailure: ({ reason }) => reason === "unanswered",
        }),
      ),
  });
}
