import { expect } from "earl";
import { it } from "node:test";
import { type EventFields, Journal } from "./journal.ts";

function createJournal() {
  const lines: Record<string, unknown>[] = [];
  const time = { nowMs: 0 };
  const journal = new Journal({
    process: "entry-1",
    nowMs: () => time.nowMs,
    output: { write: (text) => void lines.push(JSON.parse(text)) },
  });
  return { journal, lines, time };
}

const CALL: EventFields<"call.ended"> = {
  callId: "a",
  route: "r",
  service: "s",
  status: 200,
  outcome: "answered",
  attempts: ["i-1 answered"],
  durationMs: 7,
  configVersion: 3,
};

it("writes one JSON object for each event", () => {
  const { journal, lines } = createJournal();
  journal.record("call.ended", CALL);
  expect(lines).toEqual([{
    level: "info",
    timeMs: 0,
    process: "entry-1",
    ...CALL,
    event: "call.ended",
  }]);
});

it("limits the lines per second and reports the number omitted", () => {
  const { journal, lines, time } = createJournal();
  for (let index = 0; index < 1_000; index++) {
    journal.record("call.ended", { ...CALL, durationMs: index }, "routine");
  }
  const routineLines = lines.length;
  expect(routineLines < 100).toEqual(true);
  journal.record("replica.retiring", { replica: "r1", model: "m" });
  expect(lines.slice(routineLines).map(({ event }) => event))
    .toEqual(["log.omitted", "replica.retiring"]);
  expect(lines[routineLines]!.lines).toEqual(1_000 - routineLines);
  time.nowMs = 1_000;
  journal.record("call.ended", CALL, "routine");
  expect(lines.length).toEqual(routineLines + 3);
});
