import { expect } from "earl";
import { it } from "node:test";
import { Journal, MetricsPage } from "../journal/index.ts";
import type { CallRecord } from "../serving/index.ts";
import { recordCall } from "./record_call.ts";

/** More than the log takes of failures in a second. */
const REFUSALS = 400;
const KNOWN = {
  configReadTo: 1,
  configAgeMs: 0,
  listReadTo: 1,
  listAgeMs: 0,
};
const refused: CallRecord = {
  callId: "refused",
  route: "r",
  service: "s",
  status: 503,
  outcome: "refused",
  cause: "full",
  attempts: [],
  durationMs: 0,
  configVersion: 1,
};

// Guards against a stream that ends early without a line, as refusals of the same
// second have used up the log's budget.
it("logs a stream that is broken off beside many refusals", () => {
  const lines: Record<string, unknown>[] = [];
  const journal = new Journal({
    process: "entry-1",
    nowMs: () => 0,
    output: { write: (text) => void lines.push(JSON.parse(text)) },
  });
  const sinks = { journal, metrics: new MetricsPage(), known: () => KNOWN };
  for (let count = 0; count < REFUSALS; count++) recordCall(refused, sinks);
  expect(lines.length < REFUSALS).toEqual(true);
  recordCall({
    ...refused,
    callId: "cut",
    outcome: "broken-off",
    cause: "attempts",
    hasBegun: true,
  }, sinks);
  const { callId, cause } = lines.at(-1)!;
  expect([callId, cause]).toEqual(["cut", "attempts"]);
});
