import { expect } from "earl";
import { it } from "node:test";
import { RefusalWatch } from "./refusal_watch.ts";

// Guards against a sound leader that is replaced for connections refused in one
// moment, and against one that has ended and is not.
it("takes a leader for down once it has refused reports for 0.4 s", () => {
  const watch = new RefusalWatch();
  const refuse = (nowMs: number) => watch.note({ isRefused: true, nowMs });
  expect([0, 100, 200, 300].map(refuse)).toEqual([false, false, false, false]);
  expect(refuse(400)).toEqual(true);
});

it("starts anew at each report that isn't refused", () => {
  const watch = new RefusalWatch();
  for (const nowMs of [0, 100, 200, 300]) {
    watch.note({ isRefused: true, nowMs });
  }
  expect(watch.note({ isRefused: false, nowMs: 350 })).toEqual(false);
  expect(watch.note({ isRefused: true, nowMs: 450 })).toEqual(false);
  expect(watch.refusedMs(500)).toEqual(50);
});

it("takes no two refusals around a standstill of this process for more", () => {
  const watch = new RefusalWatch();
  watch.note({ isRefused: true, nowMs: 0 });
  expect(watch.note({ isRefused: true, nowMs: 5_000 })).toEqual(false);
});
