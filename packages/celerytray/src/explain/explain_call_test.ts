import { expect } from "earl";
import { it } from "node:test";
import { explainCall, parseLogLines } from "./explain_call.ts";

const LINES = [
  '{"timeMs":1000,"process":"entry-2","replica":"r1-2","members":["i-1","i-2"],"event":"replica.formed"}',
  "   4.2 entry-1 output of another program",
  '   4.2 entry-2 {"timeMs":50000,"process":"entry-2","instanceId":"i-2","liveness":"silent","event":"instance.probe-failed"}',
  '{"timeMs":50010,"process":"entry-2","replica":"r1-2","reason":"i-2 is silent","event":"replica.retiring"}',
  '{"timeMs":50020,"process":"entry-1","topic":"config","event":"store.lost"}',
  '{"timeMs":50020,"process":"entry-3","topic":"config","event":"store.lost"}',
  '{"timeMs":50100,"process":"entry-1","callId":"a","status":502,"attempts":["i-1 The replica stands still"],"event":"call.ended"}',
  '{"timeMs":50100,"process":"entry-1","callId":"b","status":200,"attempts":["i-9 streamed"],"event":"call.ended"}',
  '{"timeMs":90000,"process":"entry-1","instanceId":"i-1","event":"order.answered"}',
];

it("finds a request's lines and those about its instances", () => {
  const { calls, causes } = explainCall(parseLogLines(LINES.join("\n")), "a");
  expect(calls.map(({ status }) => status)).toEqual([502]);
  expect(causes.map(({ process, event }) => `${process} ${event}`)).toEqual([
    "entry-2 instance.probe-failed",
    "entry-2 replica.retiring",
    "entry-1 store.lost",
  ]);
});

it("finds nothing for a request that no line names", () => {
  expect(explainCall(parseLogLines(LINES.join("\n")), "c"))
    .toEqual({ calls: [], causes: [] });
});

it("includes the decision on a part of the prompt, however long ago", () => {
  const lines = [
    '{"timeMs":1000,"process":"entry-2","part":"p","crashes":3,"event":"quarantine.decided"}',
    '{"timeMs":1000,"process":"entry-2","part":"q","crashes":3,"event":"quarantine.decided"}',
    '{"timeMs":90000,"process":"entry-1","callId":"d","status":503,"attempts":[],"promptParts":["p"],"event":"call.ended"}',
  ];
  const { causes } = explainCall(parseLogLines(lines.join("\n")), "d");
  expect(causes.map(({ part }) => part)).toEqual(["p"]);
});

it("includes evacuations in force, however long ago they began", () => {
  const createZoneLine = (timeMs: number, zone: string, event: string) =>
    JSON.stringify({ timeMs, process: "entry-1", zone, event });
  const lines = [
    createZoneLine(1_000, "a", "zone.evacuated"),
    createZoneLine(2_000, "b", "zone.evacuated"),
    createZoneLine(3_000, "b", "zone.restored"),
    ...LINES,
  ];
  const { causes } = explainCall(parseLogLines(lines.join("\n")), "a");
  expect(
    causes.filter(({ zone }) => zone !== undefined).map(({ zone }) => zone),
  )
    .toEqual(["a"]);
});
