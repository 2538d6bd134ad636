import { expect } from "earl";
import { describe, it } from "node:test";
import type { AttemptOutcome } from "../exchange/index.ts";
import { AttemptWatch } from "./attempt_watch.ts";
import { CallCauses } from "./crash_causes.ts";
import { CrashQuarantine } from "./crash_quarantine.ts";
import { SuspectLoad } from "./suspect_load.ts";

const CAUSES = createCauses("read");

// Guards against a poison prompt that counts as harmless because a faulty
// instance answered it with an error, which shows nothing of what it does.
describe("AttemptWatch", () => {
  for (
    const [status, verdict] of [[500, "suspected"], [200, "clear"]] as const
  ) {
    it(`takes a part answered with ${status} for ${verdict}`, () => {
      const quarantine = new CrashQuarantine({
        nodeId: "p",
        onEvent: () => {},
      });
      const lost = {
        causes: CAUSES.all,
        isStream: false,
        instanceId: "a",
        incarnation: "a 1",
      };
      quarantine.noteLost(lost, 0);
      const watch = new AttemptWatch({
        quarantine,
        suspectLoad: new SuspectLoad(),
        causes: CAUSES,
        isStream: false,
        target: { instanceId: "b", epoch: 1 },
        startedAtMs: 10,
      });
      watch.noteOutcome(createAnswer(status), { nowMs: 20, isAlive: false });
      expect(quarantine.assess(CAUSES.all, 30).kind).toEqual(verdict);
    });
  }
});

// Guards against full replicas, which reset new connections, being taken for ones
// that crashed, so that what all prompts share comes into quarantine (LOST).
describe("AttemptWatch, with a stream that is lost without a response", () => {
  for (
    const [afterMs, verdict] of [[20, "clear"], [60, "suspected"]] as const
  ) {
    it(`takes its part for ${verdict} after ${afterMs} ms`, () => {
      const quarantine = new CrashQuarantine({
        nodeId: "p",
        onEvent: () => {},
      });
      const watch = new AttemptWatch({
        quarantine,
        suspectLoad: new SuspectLoad(),
        causes: CAUSES,
        isStream: true,
        target: { instanceId: "a", epoch: 1 },
        startedAtMs: 0,
      });
      watch.noteSent(SENT_AT_MS);
      const nowMs = SENT_AT_MS + afterMs;
      watch.noteOutcome(LOST, { nowMs, isAlive: false });
      expect(quarantine.assess(CAUSES.all, nowMs).kind).toEqual(verdict);
    });
  }
});

/** Longer than a stream takes to begin; the connection was long in coming. */
const SENT_AT_MS = 100;
const LOST: AttemptOutcome = {
  kind: "lost",
  message: "read ECONNRESET",
  isFaulty: false,
  isStaleConnection: false,
};

function createCauses(body: string): CallCauses {
  return new CallCauses({
    headers: {
      id: "call",
      method: "POST",
      host: "desk",
      target: "/x",
      path: "/x",
      promptParts: ["part", "own"],
      forwardedHeaders: [],
    },
    body: Buffer.from(body),
  });
}

function createAnswer(status: number): AttemptOutcome {
  return {
    kind: "answered",
    body: Buffer.alloc(0),
    headers: {
      status,
      isNotRun: false,
      isOwnAnswer: false,
      isLeaving: false,
      hasServerStamp: true,
      isEncoded: false,
      isEventStream: false,
      hasLimit: false,
      forwardedHeaders: [],
    },
  };
}
