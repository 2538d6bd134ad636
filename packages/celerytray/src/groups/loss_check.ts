import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { ControllerState } from "./controller_state.ts";
import type { LossVerdict, Reach, Reaches } from "./find_reaches.ts";
import type { InstanceAddress } from "./instance_orders.ts";

/** Dependencies of a loss check. */
export interface LossCheckOptions {
  readonly state: ControllerState;
  /** Whether this process reaches instances. */
  readonly findReaches: (
    instances: readonly InstanceAddress[],
  ) => Effect.Effect<Reaches>;
  /** The same for some other processes; those that don't answer are left out. */
  readonly askOthers: (
    instances: readonly InstanceAddress[],
  ) => Effect.Effect<readonly Reaches[]>;
  readonly record: RecordEvent;
}

/** Instances that are asked for at once. */
const MAX_ASKED = 12;
/** Shortest time between two checks. */
const CHECK_INTERVAL_MS = 300;

/**
 * Asks other processes whether they reach the instances that do not answer this
 * one, whose own links may be lost.
 */
export class LossCheck {
  readonly #options: LossCheckOptions;
  #isRunning = false;
  #checkedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: LossCheckOptions) {
    this.#options = options;
  }

  /** Checks the silent instances that were checked least recently. */
  check(nowMs: number): readonly Effect.Effect<unknown>[] {
    if (this.#isRunning || nowMs - this.#checkedAtMs < CHECK_INTERVAL_MS) {
      return [];
    }
    const { state } = this.#options;
    const asked = state.liveness.takeUnconfirmed(MAX_ASKED).flatMap(
      (id) => {
        const address = state.findAddress(id);
        return address === undefined ? [] : [{ id, address }];
      },
    );
    if (asked.length === 0) return [];
    this.#isRunning = true;
    this.#checkedAtMs = nowMs;
    return [
      this.#run(asked).pipe(
        Effect.ensuring(Effect.sync(() => {
          this.#isRunning = false;
        })),
      ),
    ];
  }

  #run(asked: readonly InstanceAddress[]): Effect.Effect<void> {
    const { state, findReaches, askOthers, record } = this.#options;
    return Effect.gen(function* () {
      const askedAtMs = yield* steadyMs;
      const [own, others] = yield* Effect.all(
        [findReaches(asked), askOthers(asked)],
        { concurrency: 2 },
      );
      const nowMs = yield* steadyMs;
      for (const { id } of asked) {
        const opinions = others.map((reaches) => reaches[id] ?? "unknown");
        const verdict = decide(own[id] ?? "unknown", opinions);
        const hasChanged = state.liveness.noteVerdict(
          id,
          verdict,
          nowMs,
          askedAtMs,
        );
        if (!hasChanged) continue;
        record("instance.checked", {
          instanceId: id,
          verdict,
          liveness: state.liveness.livenessOf(id).kind,
          own: own[id] ?? "unknown",
          others: opinions,
        });
      }
    });
  }
}

/** Processes that reach no instance say nothing; one that does is enough. */
function decide(own: Reach, others: readonly Reach[]): LossVerdict {
  if (own === "answered" || others.includes("answered")) return "reached";
  if (others.includes("unanswered")) return "unreached";
  return own === "unanswered" ? "unreached" : "unknown";
}
