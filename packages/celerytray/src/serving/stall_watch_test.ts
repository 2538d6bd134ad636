import { expect } from "earl";
import { it } from "node:test";
import { StallWatch } from "./stall_watch.ts";

it("doubts an instance once all its attempts are silent", () => {
  const watch = new StallWatch();
  const begin = () =>
    watch.begin({
      instanceId: "a",
      startedAtMs: 0,
      abandon: () => {},
      tryMove: () => {},
    });
  const endFirst = begin();
  const endSecond = begin();
  watch.noteBytes("a", 100);
  expect(watch.isSilent("a", 250)).toEqual(false);
  expect(watch.isSilent("a", 300)).toEqual(true);
  expect(watch.findDoubtful(499)).toEqual([]);
  expect(watch.findDoubtful(500)).toEqual([
    { instanceId: "a", silentMs: 400, attempts: 2 },
  ]);
  endFirst();
  expect(watch.findDoubtful(500)).toEqual([]);
  expect(watch.findDoubtful(800).length).toEqual(1);
  endSecond();
  expect(watch.findDoubtful(5_000)).toEqual([]);
});

it("ends all attempts at an instance", () => {
  const watch = new StallWatch();
  const abandoned: string[] = [];
  for (const name of ["first", "second"]) {
    watch.begin({
      instanceId: "a",
      startedAtMs: 0,
      abandon: () => abandoned.push(name),
      tryMove: () => {},
    });
  }
  watch.abandon("a");
  expect(abandoned).toEqual(["first", "second"]);
});
