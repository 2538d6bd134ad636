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
/**
 * Time for which a head must be slow before its streams are moved, as several
 * long prompts also slow it down.
 */
const SLOW_MOVE_AFTER_MS = 500;
/** Check interval while no request is in progress. */
const IDLE_CHECK_INTERVAL_MS = 200;

/** Moves requests away from stalled and slow replicas. */
export function moveAttempts(
  { stalls, paces, isBehind, nowMs, record, closedHeads }: MoveAttemptsOptions,
): Effect.Effect<never> {
  let knownStalled: ReadonlySet<string> = new Set();
  /** Time since which a head is slow. */
  let slowSinceMs: ReadonlyMap<string, number> = new Map();
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
          if (slowSinceMs.has(headId)) continue;
          const slowness = paces.slowness(headId, nowMs());
          record("replica.slow", { headId, slowness });
        }
        slowSinceMs = new Map(
          slow.map((headId) => [headId, slowSinceMs.get(headId) ?? nowMs()]),
        );
        for (const [headId, sinceMs] of slowSinceMs) {
          if (nowMs() - sinceMs < SLOW_MOVE_AFTER_MS) continue;
          stalls.moveAttempts(headId, { reason: "slow", nowMs: nowMs() });
        }
        return stalls.hasAttempts ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS;
      }),
    ).pipe(Effect.flatMap(Effect.sleep)),
  );
}
