import { Effect } from "effect";
import { leaderTimeoutMs } from "./intervals.ts";
import type { LeaderCheck } from "./leader_log.ts";

/** Time for which a check waits at the store for a successor's record. */
export const CHECK_WAIT_MS = 4_000;
/** Shortest time between the starts of two checks. */
export const MIN_CHECK_INTERVAL_MS = 2_000;
/** Interval at which reasons for an early check are evaluated. */
const REASON_POLL_INTERVAL_MS = 100;

/** Dependencies of a successor watch. */
export interface SuccessorWatchOptions {
  /**
   * Waits until the records name a leader of a later term, at most `waitMs`.
   */
  readonly awaitSuccessor: (waitMs: number) => Effect.Effect<LeaderCheck>;
  /**
   * Time of the newest report of another process; undefined before the first.
   */
  readonly reportedAtMs: () => number | undefined;
  readonly nowMs: () => number;
}

/** A check that shows that a leader's term is over. */
export type EndOfTerm = Extract<
  LeaderCheck,
  { readonly kind: "taken" | "superseded-era" }
>;

/**
 * Detects that another process has replaced this leader, or that the store came
 * back from a copy that may lack the records of its term. A read for a later
 * leader's record always waits at the store. A sign of replacement starts a new
 * read, as the response to the waiting one may have been lost.
 */
export class SuccessorWatch {
  readonly #options: SuccessorWatchOptions;
  #wasOrderRefused = false;
  /**
   * Time of the newest report after which the absence of others has already led
   * to a check.
   */
  #checkedGapMs: number | undefined;

  constructor(options: SuccessorWatchOptions) {
    this.#options = options;
  }

  /** Requests a check because an instance refused an order as outdated. */
  noteOutdatedOrder(): void {
    this.#wasOrderRefused = true;
  }

  /** Completes once the records show that this leader's term is over. */
  awaitEndOfTerm(): Effect.Effect<EndOfTerm> {
    const { awaitSuccessor, nowMs } = this.#options;
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const nextAtMs = nowMs() + MIN_CHECK_INTERVAL_MS;
        this.#clearCheckReasons();
        const check = yield* awaitSuccessor(CHECK_WAIT_MS).pipe(
          Effect.raceFirst(this.#awaitCheckReason(nextAtMs)),
        );
        if (check?.kind === "taken" || check?.kind === "superseded-era") {
          return check;
        }
        const gapMs = nextAtMs - nowMs();
        if (gapMs > 0) yield* Effect.sleep(Math.ceil(gapMs));
      }
    });
  }

  /** Completes at `atMs` or later, once there is a reason for a check. */
  #awaitCheckReason(atMs: number): Effect.Effect<undefined> {
    const { nowMs } = this.#options;
    return Effect.gen({ self: this }, function* () {
      while (nowMs() < atMs || !this.#hasCheckReason()) {
        yield* Effect.sleep(REASON_POLL_INTERVAL_MS);
      }
      return undefined;
    });
  }

  #hasCheckReason(): boolean {
    return this.#wasOrderRefused || this.#hasReportGap();
  }

  /** Whether reports have stopped and no check was made for that yet. */
  #hasReportGap(): boolean {
    const { reportedAtMs, nowMs } = this.#options;
    const atMs = reportedAtMs();
    return atMs !== undefined && atMs !== this.#checkedGapMs &&
      nowMs() - atMs > leaderTimeoutMs("direct");
  }

  /** Clears the reasons for a check, which the check that now begins covers. */
  #clearCheckReasons(): void {
    if (this.#hasReportGap()) this.#checkedGapMs = this.#options.reportedAtMs();
    this.#wasOrderRefused = false;
  }
}
