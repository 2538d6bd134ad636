import { expect } from "earl";
import { it } from "node:test";
import { StallWatch } from "./stall_watch.ts";

it("doubts an instance once all its attempts are silent", () => {
  const watch = new StallWatch();
  const begin = () =>
    watch.begin({
      instanceId: "a",
      startedAtMs: 0,
      rank: () => 0,
      tryMove: () => {},
    });
  const endFirst = begin();
  const endSecond = begin();
  watch.noteProgress("a", 100);
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

it("lets the attempts of the highest rank move first", () => {
  const watch = new StallWatch();
  const moved: string[] = [];
  for (
    const [name, rank] of [["new", -3], ["begun", 8], ["urgent", 0]] as const
  ) {
    watch.begin({
      instanceId: "a",
      startedAtMs: 0,
      rank: () => rank,
      tryMove: (reason) => moved.push(`${name} ${reason}`),
    });
  }
  watch.moveAway("a", "stalled");
  expect(moved).toEqual(["begun stalled", "urgent stalled", "new stalled"]);
});
