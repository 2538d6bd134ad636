import { expect } from "earl";
import { describe, it } from "node:test";
import { createPosition } from "../../keyed_log/index.ts";
import { CrashQuarantine } from "./crash_quarantine.ts";
import type { SuspectPart } from "./quarantine_report.ts";

const PARTS = ["part"];
const SETTLED_MS = 10_000;
const HELD: SuspectPart = {
  part: "part",
  crashes: 2,
  releaseOffset: -1,
  state: "held",
};

describe("CrashQuarantine", () => {
  // Guards against sound parts in quarantine by the view of one process, to
  // which none of their harmless requests came.
  it("leaves the conclusion to a leader that names the part", () => {
    const led = createCrashed();
    led.adopt([HELD]);
    led.report(SETTLED_MS);
    expect(led.assess(PARTS, SETTLED_MS).kind).toEqual("held");
    const unled = createCrashed();
    unled.report(SETTLED_MS);
    expect(unled.assess(PARTS, SETTLED_MS).kind).toEqual("quarantined");
  });

  // Guards against all processes trying a held part at once.
  it("tries a held part once for each permission", () => {
    const quarantine = createCrashed();
    const trial = { nodeId: "node-1", id: "1-1" };
    quarantine.adopt([{ ...HELD, crashes: 3 }]);
    expect(quarantine.tryTakeTrial(PARTS, 0)).toEqual(false);
    quarantine.adopt([{ ...HELD, crashes: 3, trial }]);
    expect(quarantine.tryTakeTrial(PARTS, 0)).toEqual(true);
    expect(quarantine.tryTakeTrial(PARTS, 0)).toEqual(false);
    const other = { nodeId: "node-2", id: "1-2" };
    quarantine.adopt([{ ...HELD, crashes: 3, trial: other }]);
    expect(quarantine.tryTakeTrial(PARTS, 0)).toEqual(false);
  });

  // Guards against a released part that a late status puts back in quarantine.
  it("keeps to a release that the leader does not know yet", () => {
    const quarantine = createCrashed();
    const quarantined: SuspectPart = { ...HELD, state: "quarantined" };
    quarantine.adopt([quarantined]);
    quarantine.release("part", 5);
    quarantine.adopt([quarantined]);
    expect(quarantine.assess(PARTS, SETTLED_MS).kind).toEqual("clear");
    quarantine.adopt([{ ...quarantined, releaseOffset: 5 }]);
    expect(quarantine.assess(PARTS, SETTLED_MS).kind).toEqual("quarantined");
  });

  // Guards against a part that is tried again because its old release is read
  // once more, after the store came back from an older copy.
  it("takes a release that is read in a later era for the same one", () => {
    const quarantine = createCrashed();
    const quarantined: SuspectPart = { ...HELD, state: "quarantined" };
    const reread = createPosition({ era: 1, offset: 5 });
    quarantine.release("part", 5);
    quarantine.adopt([{ ...quarantined, releaseOffset: 5 }]);
    quarantine.release("part", reread);
    expect(quarantine.assess(PARTS, SETTLED_MS).kind).toEqual("quarantined");
    // A process that started after the return knows only the later position.
    const started = createCrashed();
    started.release("part", reread);
    started.adopt([{ ...quarantined, releaseOffset: 5 }]);
    expect(started.assess(PARTS, SETTLED_MS).kind).toEqual("quarantined");
    started.release("part", reread + 1);
    expect(started.assess(PARTS, SETTLED_MS).kind).toEqual("clear");
  });
});

/** Three instances were lost at requests of this process with the part. */
function createCrashed(): CrashQuarantine {
  const quarantine = new CrashQuarantine({
    nodeId: "node-1",
    onEvent: () => {},
  });
  for (let crash = 0; crash < 3; crash++) {
    const incarnation = `i${crash}`;
    const attempt = {
      causes: PARTS,
      isStream: true,
      instanceId: incarnation,
      incarnation,
    };
    quarantine.noteLost(attempt, crash * 400);
  }
  return quarantine;
}
