import { expect } from "earl";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { LeadProof } from "./lead_proof.ts";

const READ_MS = 20;
const MAX_PROOF_AGE_MS = 900;

// Guards against an order that ends work and rests on a proof from before its
// decision, or from before this process stood still.
describe("LeadProof", () => {
  it("reads the store once for orders that were decided together", () =>
    simulate(function* (proof, store) {
      const orders = yield* Effect.forkChild(
        Effect.all([proof.prove(0), proof.prove(0), proof.prove(0)], {
          concurrency: "unbounded",
        }),
      );
      yield* TestClock.adjust(READ_MS);
      yield* Fiber.join(orders);
      expect(store.reads).toEqual(1);
    }));

  it("reads it again after a later decision, and once the proof is old", () =>
    simulate(function* (proof, store) {
      expect(yield* isProven(proof, 0)).toEqual(true);
      expect(yield* isProven(proof, 0)).toEqual(true);
      expect(store.reads).toEqual(1);
      expect(yield* isProven(proof, READ_MS)).toEqual(true);
      expect(store.reads).toEqual(2);
      yield* TestClock.adjust(MAX_PROOF_AGE_MS);
      expect(yield* isProven(proof, 0)).toEqual(true);
      expect(store.reads).toEqual(3);
    }));

  it("takes no answer for a proof that comes too late", () =>
    simulate(function* (proof, store) {
      store.readMs = MAX_PROOF_AGE_MS + 1;
      expect(yield* isProven(proof, 0, store.readMs)).toEqual(false);
    }));

  it("fails for all orders that waited for a read that failed", () =>
    simulate(function* (proof, store) {
      store.isLost = true;
      const orders = yield* Effect.forkChild(
        Effect.all([isProven(proof, 0), isProven(proof, 0)], {
          concurrency: "unbounded",
        }),
      );
      yield* TestClock.adjust(READ_MS);
      expect(yield* Fiber.join(orders)).toEqual([false, false]);
      expect(store.reads).toEqual(1);
      store.isLost = false;
      expect(yield* isProven(proof, 0)).toEqual(true);
    }));
});

interface FakeStore {
  reads: number;
  readMs: number;
  isLost: boolean;
}

function simulate(
  run: (
    proof: LeadProof,
    store: FakeStore,
  ) => Generator<Effect.Effect<unknown, unknown>, void, never>,
): Promise<void> {
  const store: FakeStore = { reads: 0, readMs: READ_MS, isLost: false };
  const proof = new LeadProof({
    confirm: () =>
      Effect.suspend(() => {
        store.reads += 1;
        return Effect.andThen(
          Effect.sleep(store.readMs),
          store.isLost ? Effect.fail({ message: "lost" }) : Effect.void,
        );
      }),
  });
  return Effect.runPromise(
    Effect.gen(() => run(proof, store)).pipe(
      Effect.provide(TestClock.layer()),
    ),
  );
}

/** Lets a read pass; whether it proved that the process leads. */
function isProven(proof: LeadProof, decidedAtMs: number, waitMs = READ_MS) {
  return Effect.gen(function* () {
    const proving = yield* Effect.forkChild(
      Effect.match(proof.prove(decidedAtMs), {
        onSuccess: () => true,
        onFailure: () => false,
      }),
    );
    yield* TestClock.adjust(waitMs);
    return yield* Fiber.join(proving);
  });
}
