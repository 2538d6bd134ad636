import { expect } from "earl";
import { describe, it } from "node:test";
import { ColdTracker, type ListReadContext } from "./cold_tracker.ts";

const START_MS = 3_000;
const READING: ListReadContext = {
  nowMs: 100,
  wallMs: 1_000_000,
  hasTraffic: true,
  isFirst: false,
};
const LISTED = { id: "i", service: "s", offset: 1, bornAtMs: 900_000 };

describe("ColdTracker", () => {
  it("marks instances cold that start during traffic, but not those before", () => {
    const { tracker, remainingMs } = createTracker();
    tracker.noteListed(LISTED, { ...READING, hasTraffic: false });
    expect(remainingMs(100)).toEqual(0);
    tracker.noteListed({ ...LISTED, offset: 2, bornAtMs: 950_000 }, READING);
    expect(remainingMs(100)).toEqual(START_MS);
    expect(remainingMs(3_100)).toEqual(0);
  });

  it("ignores entries that are repeated, older or of the same incarnation", () => {
    const { tracker, remainingMs } = createTracker();
    const listed = { ...LISTED, coldRemainingMs: 500 };
    tracker.noteListed(listed, READING);
    tracker.noteListed(listed, { ...READING, nowMs: 550 });
    tracker.noteListed({ ...listed, offset: 0 }, { ...READING, nowMs: 550 });
    tracker.noteListed({ ...LISTED, offset: 2 }, { ...READING, nowMs: 550 });
    expect(remainingMs(550)).toEqual(50);
  });

  it("uses the latest report, including one that the instance is not cold", () => {
    const { tracker, remainingMs } = createTracker();
    tracker.noteRestored(LISTED, 100);
    expect(remainingMs(100)).toEqual(START_MS);
    tracker.noteReported(LISTED, 7_000, 100);
    expect(remainingMs(100)).toEqual(7_000);
    tracker.noteListed({ ...LISTED, coldRemainingMs: 0 }, READING);
    expect(remainingMs(100)).toEqual(0);
  });

  it("replaces and reports cold times that are out of range", () => {
    const { tracker, remainingMs, malformed } = createTracker();
    const values = [-1, Number.NaN, Number.POSITIVE_INFINITY, 1e15];
    for (const [index, coldRemainingMs] of values.entries()) {
      const listed = { ...LISTED, offset: index, coldRemainingMs };
      tracker.noteListed(listed, READING);
      expect(remainingMs(100)).toEqual(START_MS);
      tracker.noteReported(LISTED, 0, 100);
    }
    expect(malformed.length).toEqual(values.length);
  });

  it("marks recently started incarnations cold in a process's first reading", () => {
    const reading = { ...READING, isFirst: true, hasTraffic: false };
    const ages = [[-50, START_MS], [1_000, 2_000], [4_000, 0]] as const;
    for (const [ageMs, expectedMs] of ages) {
      const { tracker, remainingMs } = createTracker();
      const bornAtMs = READING.wallMs - ageMs;
      tracker.noteListed({ ...LISTED, bornAtMs }, reading);
      expect(remainingMs(100)).toEqual(expectedMs);
    }
  });
});

function createTracker() {
  const malformed: string[] = [];
  const tracker = new ColdTracker({
    findColdStart: () => ({ startMs: START_MS, requestsPerSecond: 18 }),
    onCold: () => {},
    onMalformed: (_id, message) => malformed.push(message),
  });
  const remainingMs = (nowMs: number) =>
    (tracker.findColdPeriod("i", nowMs)?.untilMs ?? nowMs) - nowMs;
  return { tracker, malformed, remainingMs };
}
