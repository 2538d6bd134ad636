import { Effect } from "effect";
import { yieldToEventLoop } from "../http/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { PaceTracker, StallDetector } from "../serving/index.ts";

/** Dependencies of moving requests between replicas. */
export interface MoveAttemptsOptions {
  readonly stalls: StallDetector;
  readonly paces: PaceTracker;
  /**
   * Whether this process was recently behind, so that response data may be
   * unread.
   */
  readonly isBehind: (nowMs: number) => boolean;
  readonly nowMs: () => number;
  readonly record: RecordEvent;
  /** Heads of replicas that are being dissolved. */
  readonly closedHeads: () => readonly string[];
}

const CHECK_INTERVAL_MS = 50;
/** Check interval while no request is in progress. */
const IDLE_CHECK_INTERVAL_MS = 200;

/** Moves requests away from stalled and slow replicas. */
export function moveAttempts(
  { stalls, paces, isBehind, nowMs, record, closedHeads }: MoveAttemptsOptions,
): Effect.Effect<never> {
  let knownStalled: ReadonlySet<string> = new Set();
  let knownSlow: ReadonlySet<string> = new Set();
  const read = Effect.suspend(() =>
    isBehind(nowMs()) ? yieldToEventLoop : Effect.void
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
        return stalls.hasAttempts ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS;
      }),
    ).pipe(Effect.flatMap(Effect.sleep)),
  );
}
