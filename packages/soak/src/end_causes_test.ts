import { expect } from "earl";
import { describe, it } from "node:test";
import { countBegunEnds, describeEnds } from "./end_causes.ts";

// Guards against a red seed whose output doesn't say who ended a stream (issue 63).
describe("ends of calls in the logs", () => {
  it("are told with their causes for the calls that a message names", () => {
    const ended = { event: "call.ended", outcome: "broken-off", durationMs: 9 };
    const attempts = ["model-0 lost 0-2", "model-2 lost 3"];
    const cause = "attempts";
    const begun = { hasBegun: true, awaited: "no-target", attempts };
    const lines = [
      JSON.stringify({ ...ended, callId: "call-1", cause, ...begun }),
      JSON.stringify({ ...ended, callId: "call-10", cause, ...begun }),
      JSON.stringify({ ...ended, callId: "call-1", outcome: "streamed" }),
      JSON.stringify({ event: "process.started" }),
      '{"event": "call.en',
    ];
    const logs = new Map([["front-0", lines.join("\n")]]);
    expect(countBegunEnds(logs)).toEqual([
      "2 streams ended in their middle: attempts, awaited no-target",
    ]);
    expect(describeEnds(["stream call-1 at front-0 was cut"], logs)).toEqual([
      "call-1 at front-0: broken-off, attempts, awaited no-target, begun, " +
      "9 ms, model-0 lost 0-2; model-2 lost 3",
    ]);
  });
});
