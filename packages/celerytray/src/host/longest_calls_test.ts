import { expect } from "earl";
import { describe, it } from "node:test";
import type { ServingRoute } from "../serving/index.ts";
import { testRoute } from "../serving/test_entry.ts";
import { LongestCalls } from "./longest_calls.ts";

describe("LongestCalls", () => {
  it("is the longest timeout of a service's routes, parts of a split included", () => {
    const calls = new LongestCalls();
    calls.noteConfig({
      routes: [
        createRoute(["a"], 2_000),
        createRoute(["a", "b"], 6_000),
        createRoute(["c"], 9_000),
      ],
    }, 0);
    const found = ["a", "b", "c", "d"].map((id) => calls.findMs(id, 0));
    expect(found).toEqual([6_000, 6_000, 9_000, 0]);
  });

  // Guards against requests that are cut since a newer configuration, which is
  // not theirs, has a shorter timeout or no route to their service (LOST).
  it("keeps a longer timeout until the requests that have it are over", () => {
    const calls = new LongestCalls();
    calls.noteConfig({ routes: [createRoute(["a"], 8_000)] }, 0);
    calls.noteConfig({ routes: [createRoute(["a"], 1_000)] }, 10_000);
    calls.noteConfig({ routes: [] }, 11_000);
    expect(calls.findMs("a", 17_999)).toEqual(8_000);
    expect(calls.findMs("a", 18_000)).toEqual(0);
  });
});

function createRoute(
  services: readonly string[],
  timeoutMs: number,
): ServingRoute {
  const targets = services.map((service) => ({ service, weight: 1 }));
  return { ...testRoute, targets, timeoutMs };
}
