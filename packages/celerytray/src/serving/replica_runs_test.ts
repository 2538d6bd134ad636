import { expect } from "earl";
import { it } from "node:test";
import type { ServingTarget } from "./choose_target.ts";
import { ReplicaRuns } from "./replica_runs.ts";

const LEFT_AT_MS = 700;
const written = { hasWritten: true, isMoved: false, nowMs: LEFT_AT_MS };
const moved = { hasWritten: false, isMoved: true, nowMs: LEFT_AT_MS };
const lost = { hasWritten: false, isMoved: false, nowMs: LEFT_AT_MS };

// Guards against a stream that is broken off as its attempts are used up, though
// a replica could go on within the route's limit (LOST, BUDGET).
it("counts a replica once, however often a request runs there", () => {
  const runs = new ReplicaRuns();
  runs.note(createTarget("a"), written);
  runs.note(createTarget("a"), written);
  expect([runs.count, runs.countWith("a"), runs.countWith("b")])
    .toEqual([1, 1, 2]);
});

it("no longer counts a replica that ended after it had written", () => {
  const runs = new ReplicaRuns();
  runs.note(createTarget("a"), written);
  runs.noteEnded("a");
  expect(runs.count).toEqual(0);
});

it("counts a replica that the request may have ended", () => {
  const runs = new ReplicaRuns();
  for (const end of [moved, lost]) {
    runs.note(createTarget("a"), end);
    runs.noteEnded("a");
    expect(runs.count).toEqual(1);
  }
});

it("no longer counts a replica whose head serves another one", () => {
  const runs = new ReplicaRuns();
  runs.note(createTarget("a"), written);
  runs.note(createTarget("b"), written);
  runs.keepServing([createTarget("a", 2), createTarget("b")]);
  expect([runs.countWith("a"), runs.countWith("b")]).toEqual([2, 1]);
});

it("lets a stream go back where it has written, or from where it was moved", () => {
  const runs = new ReplicaRuns();
  const mayReturn = (id: string, epoch?: number) =>
    runs.leftAtMs(createTarget(id, epoch)) === LEFT_AT_MS;
  runs.note(createTarget("a"), written);
  runs.note(createTarget("b"), moved);
  runs.note(createTarget("c"), lost);
  expect(["a", "b", "c", "d"].map((id) => mayReturn(id)))
    .toEqual([true, true, false, false]);
  expect(mayReturn("a", 2)).toEqual(false);
});

// Guards against a stream that is broken off as the replica where it had written
// resets the connection on which it comes back (LOST).
it("lets a stream go back again to a replica that did not take it up", () => {
  const runs = new ReplicaRuns();
  for (const end of [written, moved]) {
    runs.note(createTarget("a"), end);
    runs.note(createTarget("a"), lost);
    expect(runs.mayGoOn).toEqual(true);
  }
  runs.note(createTarget("a", 2), lost);
  expect(runs.mayGoOn).toEqual(false);
});

function createTarget(instanceId: string, epoch = 1): ServingTarget {
  return { instanceId, address: "127.0.0.1:1", zone: "z", slots: 1, epoch };
}
