import { expect } from "earl";
import { it } from "node:test";
import type { ServingTarget } from "./choose_target.ts";
import { type EndedRun, ReplicaRuns } from "./replica_runs.ts";

const LEFT_AT_MS = 700;
const lost: EndedRun = {
  hasWritten: false,
  isMoved: false,
  isAlive: false,
  nowMs: LEFT_AT_MS,
};
const written = { ...lost, hasWritten: true };
const moved = { ...lost, isMoved: true };
const alive = { ...lost, isAlive: true };

// Guards against a stream that is broken off as its attempts are used up, though
// a replica could go on within the route's limit (LOST, BUDGET).
it("counts a replica once, however often a request runs there", () => {
  const runs = new ReplicaRuns();
  runs.note(createTarget("a"), written);
  runs.note(createTarget("a"), written);
  const counts = ["a", "b"].map((id) => runs.countWith(createTarget(id)));
  expect([runs.count, ...counts]).toEqual([1, 1, 2]);
});

it("counts the lives of an instance one by one", () => {
  const runs = new ReplicaRuns();
  runs.note(createTarget("a", { bornAtMs: 1 }), written);
  expect(runs.countWith(createTarget("a", { bornAtMs: 2 }))).toEqual(2);
});

it("does not count one run that an order ended", () => {
  const runs = new ReplicaRuns();
  for (const id of ["a", "b"]) {
    runs.note(createTarget(id), written);
    runs.noteOrdered();
  }
  expect(runs.count).toEqual(1);
});

it("lets a stream go back to where it did no harm", () => {
  const runs = new ReplicaRuns();
  const mayReturn = (id: string, epoch?: number) =>
    runs.leftAtMs(createTarget(id, { epoch })) === LEFT_AT_MS;
  for (const [id, end] of Object.entries({ written, moved, alive, lost })) {
    runs.note(createTarget(id), end);
  }
  expect(["written", "moved", "alive", "lost", "other"]
    .map((id) => mayReturn(id))).toEqual([true, true, true, false, false]);
  expect(mayReturn("written", 2)).toEqual(false);
});

it("remembers that a run has written after a later one is lost there", () => {
  const runs = new ReplicaRuns();
  runs.note(createTarget("a"), written);
  runs.note(createTarget("a"), lost);
  expect(runs.leftAtMs(createTarget("a"))).toEqual(LEFT_AT_MS);
});

function createTarget(
  instanceId: string,
  { epoch = 1, bornAtMs = 1 }: {
    readonly epoch?: number | undefined;
    readonly bornAtMs?: number;
  } = {},
): ServingTarget {
  return {
    instanceId,
    address: "127.0.0.1:1",
    zone: "z",
    slots: 1,
    epoch,
    bornAtMs,
  };
}
