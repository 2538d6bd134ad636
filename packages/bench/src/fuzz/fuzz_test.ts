import { expect } from "earl";
import { describe, it } from "node:test";
import { FUZZ_TARGETS } from "./fuzz_targets.ts";
import { runFuzz } from "./run_fuzz.ts";

const CASE_COUNT = 1_000;

describe("malformed input", () => {
  for (const target of FUZZ_TARGETS) {
    it(`is refused without a crash: ${target.name}`, () => {
      const result = runFuzz(target, { caseCount: CASE_COUNT, seed: 1 });
      expect(result.firstCrash).toEqual("");
      expect(result.accepted).toBeGreaterThan(0);
      expect(result.accepted).toBeLessThan(CASE_COUNT);
    });
  }
});
