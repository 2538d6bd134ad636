import { expect } from "earl";
import { describe, it } from "node:test";
import { CrashEvidence } from "./crash_evidence.ts";

const SETTLE_MS = 700;
const NONE: ReadonlySet<string> = new Set();

/** Requests that one crash takes along. */
const SUSPECTS_PER_CRASH = 18;

// Guards against sound prompts being refused because they were at a head that
// a poison prompt, or anything else, took down.
describe("CrashEvidence", () => {
  it("clears the parts that have begun to write elsewhere", () => {
    const evidence = new CrashEvidence();
    for (let crash = 0; crash < 3; crash++) {
      const atMs = crash * 400;
      evidence.noteCrash({ part: "deadly", incarnation: `i${crash}` }, atMs);
      for (let index = 0; index < SUSPECTS_PER_CRASH; index++) {
        const part = index % 2 === 0 ? "first" : `sound${index}`;
        evidence.noteCrash({ part, incarnation: `i${crash}` }, atMs);
        evidence.noteSafe(part, atMs + 200);
      }
    }
    expect(conclude(evidence, 2_000)).toEqual(["deadly"]);
  });

  it("waits until harmless requests of other processes can be known", () => {
    const evidence = createCrashes(["deadly"], [0, 400, 800]);
    expect(conclude(evidence, 800 + SETTLE_MS - 1)).toEqual([]);
    expect(conclude(evidence, 800 + SETTLE_MS)).toEqual(["deadly"]);
  });

  it("counts the losses of a domain that goes dark as one", () => {
    const evidence = createCrashes(["part"], [0, 10, 20, 60, 70]);
    const [assessment] = assess(evidence, 5_000);
    expect(assessment?.crashes).toEqual(1);
    expect(assessment?.isConclusive).toEqual(false);
  });

  it("blames neither of two parts that were always together", () => {
    const evidence = createCrashes(["deadly", "beside"], [0, 400, 800]);
    expect(conclude(evidence, 5_000)).toEqual([]);
    expect(assess(evidence, 5_000).map(({ needsTrial }) => needsTrial))
      .toEqual([true, true]);
    evidence.noteCrash({ part: "deadly", incarnation: "other" }, 6_000);
    expect(conclude(evidence, 7_000)).toEqual(["deadly"]);
  });

  it("blames the one of two parts that was never harmless", () => {
    const evidence = createCrashes(["beside", "deadly"], [0, 400, 800]);
    evidence.noteSafe("beside", -100);
    expect(conclude(evidence, 2_000)).toEqual(["deadly"]);
  });

  it("does not blame parts for losses that a quarantined part explains", () => {
    const evidence = createCrashes(["deadly", "beside"], [0, 400, 800]);
    const explaining = new Set(["deadly"]);
    expect(
      evidence.assess({ nowMs: 5_000, settleMs: SETTLE_MS, explaining }),
    ).toEqual([]);
    expect(evidence.countCrashes("beside", explaining)).toEqual(0);
  });

  it("withdraws the loss of an instance that answers again", () => {
    const evidence = createCrashes(["part"], [0, 400, 800]);
    evidence.withdraw("i1");
    expect(conclude(evidence, 5_000)).toEqual([]);
  });

  it("keeps the parts with the most losses when a caller sends many", () => {
    const evidence = createCrashes(["deadly"], [0, 400]);
    for (let index = 0; index < 5_000; index++) {
      evidence.noteCrash({ part: `p${index}`, incarnation: "x" }, 500);
    }
    expect(assess(evidence, 900)[0]?.part).toEqual("deadly");
    expect(assess(evidence, 900).length <= 128).toEqual(true);
  });
});

function createCrashes(
  parts: readonly string[],
  timesMs: readonly number[],
): CrashEvidence {
  const evidence = new CrashEvidence();
  timesMs.forEach((atMs, index) => {
    for (const part of parts) {
      evidence.noteCrash({ part, incarnation: `i${index}` }, atMs);
    }
  });
  return evidence;
}

function assess(evidence: CrashEvidence, nowMs: number) {
  return evidence.assess({ nowMs, settleMs: SETTLE_MS, explaining: NONE });
}

function conclude(evidence: CrashEvidence, nowMs: number): readonly string[] {
  return assess(evidence, nowMs).filter(({ isConclusive }) => isConclusive)
    .map(({ part }) => part);
}
