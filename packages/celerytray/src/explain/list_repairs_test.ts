import { expect } from "earl";
import { it } from "node:test";
import { parseLogLines } from "./explain_call.ts";
import { listRepairs } from "./list_repairs.ts";

const LINES = [
  '{"timeMs":1000,"replica":"r1","model":"m","members":["i-1","i-2"],"event":"replica.formed"}',
  '{"timeMs":1100,"replica":"r2","model":"m","members":["i-3","i-4"],"event":"replica.formed"}',
  '{"timeMs":2000,"order":"open","replica":"r1","outcome":"begun","event":"order.answered"}',
  '{"timeMs":9000,"instanceId":"i-2","event":"instance.probe-failed"}',
  '{"timeMs":9300,"replica":"r1","model":"m","reason":"i-2 is silent","event":"replica.retiring"}',
  '{"timeMs":9500,"replica":"r3","model":"other","members":["i-7"],"event":"replica.formed"}',
  '{"timeMs":9600,"replica":"r4","model":"m","members":["i-1","i-5"],"event":"replica.formed"}',
  '{"timeMs":9900,"order":"open","replica":"r4","outcome":"unfit","event":"order.answered"}',
  '{"timeMs":10400,"order":"open","replica":"r4","outcome":"begun","event":"order.answered"}',
  '{"timeMs":20000,"replica":"r2","model":"m","reason":"i-3 is draining","event":"replica.retiring"}',
  '{"timeMs":20700,"replica":"r2","model":"m","reason":"i-3 is draining","event":"replica.retiring"}',
];

it("measures each repair from the first loss event to the next opening", () => {
  expect(listRepairs(parseLogLines(LINES.join("\n")))).toEqual([
    {
      replica: "r1",
      model: "m",
      reason: "i-2 is silent",
      noticedAtMs: 9_000,
      durationMs: 1_400,
    },
    {
      replica: "r2",
      model: "m",
      reason: "i-3 is draining",
      noticedAtMs: 20_000,
      durationMs: undefined,
    },
  ]);
});
