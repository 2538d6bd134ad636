import { expect } from "earl";
import { describe, it } from "node:test";
import { PassedEvents } from "./passed_events.ts";

describe("PassedEvents", () => {
  it("describes the ids and the events without one", () => {
    expect(describeIds([])).toEqual("");
    expect(describeIds([4])).toEqual(", events 4 to 4");
    expect(describeIds([0, 1, 2])).toEqual(", events 0 to 2");
    expect(describeIds([undefined, 1, undefined]))
      .toEqual(", events 1 to 1, 2 without an id");
    expect(describeIds([undefined])).toEqual(", events, 1 without an id");
  });
});

function describeIds(ids: readonly (number | undefined)[]): string {
  const events = new PassedEvents();
  for (const id of ids) {
    events.note(id === undefined ? {} : { id });
  }
  return events.describe();
}
