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
  /** Heads of replicas with a member that the leader finds silent. */
  readonly silentHeads: () => readonly string[];
}

const CHECK_INTERVAL_MS = 50;
/**
 * Time for which a head must be slow before its streams are moved, as several
 * long prompts also slow it down.
 */
const SLOW_MOVE_AFTER_MS = 500;
/**
 * Time for which the streams at the head of a replica that is being dissolved
 * may end there, before they are moved so that its members become free.
 */
const CLOSING_MOVE_AFTER_MS = 2_500;
/** Check interval while no request is in progress. */
const IDLE_CHECK_INTERVAL_MS = 200;

/** Moves requests away from stalled and slow replicas. */
export function moveAttempts(
  options: MoveAttemptsOptions,
): Effect.Effect<never> {
  const { stalls, paces, isBehind, nowMs, record } = options;
  const { closedHeads, silentHeads } = options;
  let knownStalled: ReadonlySet<string> = new Set();
  const slow = new LastingHeads();
  const closing = new LastingHeads();
  const read = Effect.suspend(() =>
    isBehind(nowMs()) ? yieldToEventLoop : Effect.void
  );
  return Effect.forever(
    Effect.andThen(
      read,
      Effect.sync(() => {
        stalls.noteRead(nowMs());
        const closed = closedHeads();
        const silent = silentHeads();
        const stalled = stalls.findSuspected(nowMs(), closed, silent)
          .filter((head) => head.isStalled);
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
            isClosed: closed.includes(instanceId) ||
              silent.includes(instanceId),
          });
        }
        knownStalled = new Set(stalled.map(({ instanceId }) => instanceId));
        for (const headId of slow.update(paces.listSlow(nowMs()), nowMs())) {
          const slowness = paces.slowness(headId, nowMs());
          record("replica.slow", { headId, slowness });
        }
        for (const headId of slow.listLasting(SLOW_MOVE_AFTER_MS, nowMs())) {
          stalls.moveAttempts(headId, { reason: "slow", nowMs: nowMs() });
        }
        closing.update(closed, nowMs());
        const due = closing.listLasting(CLOSING_MOVE_AFTER_MS, nowMs());
        for (const headId of due) {
          stalls.moveAttempts(headId, {
            reason: "closing",
            nowMs: nowMs(),
            isClosed: true,
          });
        }
        return stalls.hasAttempts ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS;
      }),
    ).pipe(Effect.flatMap(Effect.sleep)),
  );
}

/** Heads in a state, with the time since which each of them is in it. */
class LastingHeads {
  #sinceMs: ReadonlyMap<string, number> = new Map();

  /** Takes the heads that are in the state now; returns the new ones. */
  update(headIds: readonly string[], nowMs: number): readonly string[] {
    const earlier = this.#sinceMs;
    this.#sinceMs = new Map(
      headIds.map((headId) => [headId, earlier.get(headId) ?? nowMs]),
    );
    return headIds.filter((headId) => !earlier.has(headId));
  }

  listLasting(durationMs: number, nowMs: number): readonly string[] {
    return [...this.#sinceMs].filter(([, sinceMs]) =>
      nowMs - sinceMs >= durationMs
    ).map(([headId]) => headId);
  }
}
