import { Effect } from "effect";
import type { LeaderRecord } from "../groups/index.ts";
import { silenceMs } from "./intervals.ts";
import type { LeadLook } from "./lead_log.ts";

/** Time for which a look waits at the store for another lead's record. */
export const LOOK_WAIT_MS = 4_000;
/** Shortest time between the starts of two looks. */
export const LOOK_GAP_MS = 2_000;
/** Steps in which a reason for a look is noticed. */
const DOUBT_STEP_MS = 100;

/** What watching for another lead works with. */
export interface LeadWatchOptions {
  /** Waits, up to a time, until the records name a later lead. */
  readonly awaitOtherLead: (waitMs: number) => Effect.Effect<LeadLook>;
  /** Time of the newest report of another process; undefined before one came. */
  readonly reportedAtMs: () => number | undefined;
  readonly nowMs: () => number;
}

/**
 * Lets a process that leads learn that another has taken its place. It always
 * waits at the store for a later lead's record. A reason to doubt makes it ask
 * anew, as the answer to a read that waits may have been lost.
 */
export class LeadWatch {
  readonly #options: LeadWatchOptions;
  #isRefused = false;
  /** Newest report after which there was a look because no other came. */
  #missedAfterMs: number | undefined;

  constructor(options: LeadWatchOptions) {
    this.#options = options;
  }

  /** Takes note that an instance refused an order as outdated. */
  noteOutdated(): void {
    this.#isRefused = true;
  }

  /** Ends once the records name a later lead. */
  awaitReplaced(): Effect.Effect<LeaderRecord> {
    const { awaitOtherLead, nowMs } = this.#options;
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const nextAtMs = nowMs() + LOOK_GAP_MS;
        this.#noteLook();
        const look = yield* awaitOtherLead(LOOK_WAIT_MS).pipe(
          Effect.raceFirst(this.#awaitDoubt(nextAtMs)),
        );
        if (look?.kind === "taken") return look.lead;
        const gapMs = nextAtMs - nowMs();
        if (gapMs > 0) yield* Effect.sleep(Math.ceil(gapMs));
      }
    });
  }

  /** Ends once there is a reason to look and a time has come. */
  #awaitDoubt(atMs: number): Effect.Effect<undefined> {
    const { nowMs } = this.#options;
    return Effect.gen({ self: this }, function* () {
      while (nowMs() < atMs || !this.#isDoubted()) {
        yield* Effect.sleep(DOUBT_STEP_MS);
      }
      return undefined;
    });
  }

  #isDoubted(): boolean {
    return this.#isRefused || this.#isMissed();
  }

  /** Whether processes that reported are silent, and no look came of it yet. */
  #isMissed(): boolean {
    const { reportedAtMs, nowMs } = this.#options;
    const atMs = reportedAtMs();
    return atMs !== undefined && atMs !== this.#missedAfterMs &&
      nowMs() - atMs > silenceMs("direct");
  }

  /** A look that begins settles the reasons for it. */
  #noteLook(): void {
    if (this.#isMissed()) this.#missedAfterMs = this.#options.reportedAtMs();
    this.#isRefused = false;
  }
}
