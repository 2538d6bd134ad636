import { expect } from "earl";
import { describe, it } from "node:test";
import { mergeEvents, selectEvents } from "./select_events.ts";
import { Timeline } from "./timeline.ts";

describe("timeline", () => {
  it("orders causes before effects despite clock differences", () => {
    const ahead = new Timeline({ process: "ahead" });
    const behind = new Timeline({ process: "behind" });
    ahead.record("cause", { nowMs: 5_000 });
    behind.clock.observe(ahead.clock.next(5_000));
    behind.record("effect", { nowMs: 1_000 });
    ahead.clock.observe(behind.clock.next(1_001));
    ahead.record("end", { nowMs: 5_000 });
    const merged = mergeEvents([behind.latest(), ahead.latest()]);
    expect(merged.map(({ kind }) => kind)).toEqual(["cause", "effect", "end"]);
  });

  it("keeps a bounded number of events", () => {
    const timeline = new Timeline({ process: "a", capacityEvents: 10 });
    for (let nowMs = 0; nowMs < 100; nowMs++) {
      timeline.record("tick", { nowMs });
    }
    expect(timeline.latest().length).toEqual(10);
    expect(timeline.latest().at(-1)!.at.physicalMs).toEqual(99);
  });

  it("filters by request, replica, instance and timestamp", () => {
    const timeline = new Timeline({ process: "a" });
    timeline.record("one", { nowMs: 1, requestId: "r", replicaId: "p" });
    timeline.record("two", { nowMs: 2, requestId: "r" });
    timeline.record("three", { nowMs: 3, instanceId: "i" });
    const kinds = (filter: Parameters<typeof selectEvents>[1]) =>
      selectEvents(timeline.latest(), filter).map(({ kind }) => kind);
    expect(kinds({ requestId: "r" })).toEqual(["one", "two"]);
    expect(kinds({ replicaId: "p" })).toEqual(["one"]);
    expect(kinds({ instanceId: "i" })).toEqual(["three"]);
    expect(kinds({ after: { physicalMs: 2, counter: 0 } })).toEqual(["three"]);
    expect(kinds({ limit: 1 })).toEqual(["three"]);
  });
});
