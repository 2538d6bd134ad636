import { Effect, Semaphore } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { RecordFailure, ReplicaRecorder } from "./replica_recorder.ts";

/**
 * Age up to which a proof counts, which begins before the store is read. A
 * leader that stands still is replaced later than that.
 */
const MAX_PROOF_AGE_MS = 900;

/**
 * Proves that this process still leads, before orders that end work. One that
 * was replaced while it stood still, or without the store, does not know that;
 * instances may not know its successor either.
 */
export class LeadProof {
  readonly #recorder: Pick<ReplicaRecorder, "confirm">;
  readonly #lock = Semaphore.makeUnsafe(1);
  /** Time at which the read began that gave the last proof. */
  #provenAtMs = Number.NEGATIVE_INFINITY;
  #failure: RecordFailure | undefined;
  #failedAtMs = Number.NEGATIVE_INFINITY;

  constructor(recorder: Pick<ReplicaRecorder, "confirm">) {
    this.#recorder = recorder;
  }

  /** Succeeds if there is a proof that is newer than a decision. */
  prove(decidedAtMs: number): Effect.Effect<void, RecordFailure> {
    return Effect.flatMap(
      steadyMs,
      (waitsSinceMs) =>
        this.#lock.withPermit(this.#proveNow({ decidedAtMs, waitsSinceMs })),
    );
  }

  #proveNow(
    { decidedAtMs, waitsSinceMs }: {
      readonly decidedAtMs: number;
      readonly waitsSinceMs: number;
    },
  ): Effect.Effect<void, RecordFailure> {
    return Effect.gen({ self: this }, function* () {
      const startedAtMs = yield* steadyMs;
      if (this.#isProven(decidedAtMs, startedAtMs)) return;
      // Reads that fail slowly would add up.
      if (this.#failure !== undefined && this.#failedAtMs > waitsSinceMs) {
        return yield* Effect.fail(this.#failure);
      }
      yield* this.#recorder.confirm().pipe(
        Effect.tapError((failure) =>
          Effect.map(steadyMs, (nowMs) => {
            this.#failure = failure;
            this.#failedAtMs = nowMs;
          })
        ),
      );
      this.#provenAtMs = startedAtMs;
      if (this.#isProven(decidedAtMs, yield* steadyMs)) return;
      return yield* Effect.fail({
        message: "The store took too long to show that this process leads",
      });
    });
  }

  #isProven(decidedAtMs: number, nowMs: number): boolean {
    return this.#provenAtMs >= decidedAtMs &&
      nowMs - this.#provenAtMs <= MAX_PROOF_AGE_MS;
  }
}
