import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import type { FakeWork } from "./fake_model_instance.ts";
import {
  createFleetSimulation,
  type FleetSimulation,
  SETTLE_MS,
  STEP_MS,
} from "./fleet_simulation.ts";

const SEED = 71;
const CALM_MS = 5_000;
/** Time from the end of the silence to that of the streams. */
const STREAM_REST_MS = 500;

// Guards against a sound replica that is dissolved, with an order that
// interrupts, for a pause of a member's machine within the 0.5 to 2 s that a
// sound one may be silent.
describe("a member whose machine makes no connection", () => {
  for (const silenceMs of [1_300, 1_500, 1_700, 1_900]) {
    it(`keeps its replica after ${silenceMs} ms`, async () => {
      const { before, after } = await simulate(silenceMs);
      expect(after).toEqual(before);
    });
  }

  // Guards against an order that ends what a sound head works on, as one of its
  // members makes no connection for a little longer than that.
  it("ends no stream and keeps its replica after 2500 ms", async () => {
    const streams = { isUnderWay: true, brokenOff: 0 };
    const { before, after } = await simulate(2_500, {
      isUnderWay: () => streams.isUnderWay,
      breakOff: () => {
        streams.isUnderWay = false;
        streams.brokenOff += 1;
      },
    }, () => {
      streams.isUnderWay = false;
    });
    expect(streams.brokenOff).toEqual(0);
    expect(after).toEqual(before);
  });
});

function simulate(
  silenceMs: number,
  work?: FakeWork,
  endStreams: () => void = () => {},
) {
  const program = Effect.gen(function* () {
    const simulation = yield* createFleetSimulation({
      seed: SEED,
      ...(work === undefined ? {} : { findWork: () => work }),
    });
    yield* advance(SETTLE_MS);
    const before = listReplicas(simulation);
    const [head] = simulation.fleet.listServingHeads();
    const memberId = head!.membership!.members[1]!;
    simulation.fleet.setReachable(memberId, false);
    yield* advance(silenceMs);
    simulation.fleet.setReachable(memberId, true);
    yield* advance(STREAM_REST_MS);
    endStreams();
    yield* advance(CALM_MS);
    return { before, after: listReplicas(simulation) };
  });
  return Effect.runPromise(
    Effect.scoped(program).pipe(Effect.provide(TestClock.layer())),
  );
}

function listReplicas({ fleet }: FleetSimulation): readonly string[] {
  return fleet.listServingHeads().map(({ membership }) =>
    `${membership!.replica} ${membership!.epoch}`
  ).sort();
}

function advance(durationMs: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
  });
}
