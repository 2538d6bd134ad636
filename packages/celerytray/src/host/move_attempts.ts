import { Effect } from "effect";
import { readConnections } from "../http/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { PaceTracker, StallDetector } from "../serving/index.ts";

/** What moving requests off replicas works with. */
export interface MoveOptions {
  readonly stalls: StallDetector;
  readonly paces: PaceTracker;
  /** Whether this process was late lately, so that progress may lie unread. */
  readonly isBehind: (nowMs: number) => boolean;
  readonly nowMs: () => number;
  readonly record: RecordEvent;
  /** Heads of replicas that are taken apart. */
  readonly closedHeads: () => readonly string[];
}

const CHECK_MS = 50;
/** Interval while no request is under way. */
const IDLE_CHECK_MS = 200;

/** Moves requests away from replicas that stand still or are slow. */
export function moveAttempts(
  { stalls, paces, isBehind, nowMs, record, closedHeads }: MoveOptions,
): Effect.Effect<never> {
  let knownStalled: ReadonlySet<string> = new Set();
  let knownSlow: ReadonlySet<string> = new Set();
  const read = Effect.suspend(() =>
    isBehind(nowMs()) ? readConnections : Effect.void
  );
  return Effect.forever(
    Effect.andThen(
      read,
      Effect.sync(() => {
        stalls.noteRead(nowMs());
        const closed = closedHeads();
        const stalled = stalls.findSuspected(nowMs(), closed).filter((head) =>
          head.isStalled
        );
        for (const { instanceId, silentMs, attempts } of stalled) {
          if (!knownStalled.has(instanceId)) {
            record("replica.stalled", {
              headId: instanceId,
              silentMs,
              attempts,
            });
          }
          stalls.moveAttempts(instanceId, {
            reason: "stalled",
            nowMs: nowMs(),
            isClosed: closed.includes(instanceId),
          });
        }
        knownStalled = new Set(stalled.map(({ instanceId }) => instanceId));
        const slow = paces.listSlow(nowMs());
        for (const headId of slow) {
          if (!knownSlow.has(headId)) {
            const slowness = paces.slowness(headId, nowMs());
            record("replica.slow", { headId, slowness });
          }
          stalls.moveAttempts(headId, { reason: "slow", nowMs: nowMs() });
        }
        knownSlow = new Set(slow);
        return stalls.hasAttempts ? CHECK_MS : IDLE_CHECK_MS;
      }),
    ).pipe(Effect.flatMap(Effect.sleep)),
  );
}
