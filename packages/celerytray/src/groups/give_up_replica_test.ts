import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { expect } from "earl";
import { describe, it } from "node:test";
import { giveUpReplica } from "./give_up_replica.ts";
import type { RecordFailure } from "./replica_recorder.ts";
import type { ReplicaRun } from "./replica_progress.ts";

// Guards against a replica that is closed for its members just as the store
// goes down, so that neither it nor the replicas planned instead can serve.
describe("giveUpReplica", () => {
  it("retires the replica once the store has answered", async () => {
    const run = createRun();
    await giveUp(run, Effect.void);
    expect(run.retirement?.reason).toEqual("its members are needed");
    expect(run.retirement?.isImmediate).toEqual(false);
  });

  it("keeps the replica if the store does not answer", async () => {
    const run = createRun();
    const events = await giveUp(run, Effect.fail({ message: "no answer" }));
    expect(run.retirement).toEqual(undefined);
    expect(events).toEqual(["replica.record-failed"]);
  });
});

function giveUp(
  run: ReplicaRun,
  confirmed: Effect.Effect<void, RecordFailure>,
): Promise<readonly string[]> {
  const events: string[] = [];
  const options = {
    reason: "its members are needed",
    recorder: { confirm: () => confirmed },
    record: (event: string) => void events.push(event),
  };
  const program = Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(giveUpReplica(run, options));
    yield* TestClock.adjust(5_000);
    yield* Effect.yieldNow;
    return fiber;
  });
  return Effect.runPromise(program.pipe(Effect.provide(TestClock.layer())))
    .then(() => events);
}

function createRun(): ReplicaRun {
  return {
    record: {
      name: "r",
      service: "s",
      model: "m",
      epoch: 1,
      members: ["head", "tail"],
      incarnations: {},
    },
    joinedIds: new Set(),
    readyIds: new Set(),
    leftIds: new Set(),
    mayBeOpen: true,
  };
}
