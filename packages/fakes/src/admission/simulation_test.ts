import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { simulateLoad } from "./simulate_load.ts";
import type { SimulatedScenario, SimulatedSite } from "./simulated_scenario.ts";

const SEED = 81;
const SITES: Readonly<Record<string, SimulatedSite>> = {
  A: {
    processes: 62,
    heads: 24,
    slots: 24,
    kinds: [
      {
        priority: 0,
        targetMs: 250,
        onTimeValue: 1.9,
        lateValue: 0.2,
        tokens: 90,
        fraction: 0.4,
      },
      {
        priority: 1,
        targetMs: 500,
        onTimeValue: 2,
        lateValue: 0.49,
        tokens: 90,
        fraction: 0.3,
      },
      {
        priority: 2,
        targetMs: 1_000,
        onTimeValue: 0.72,
        lateValue: 0.27,
        tokens: 90,
        fraction: 0.3,
      },
    ],
  },
  B: {
    processes: 123,
    heads: 20,
    slots: 34,
    kinds: [
      {
        priority: 0,
        targetMs: 350,
        onTimeValue: 1.7,
        lateValue: 0.43,
        tokens: 90,
        fraction: 1,
      },
    ],
  },
};
const scaleFirstTenant = (factor: number) => (tenant: number) =>
  tenant === 0 ? factor : 1;
const SCENARIOS: Readonly<Record<string, SimulatedScenario>> = {
  "usual load": {},
  "one organisation at 7.5 times": { loadFactor: scaleFirstTenant(7.5) },
  "one organisation at 20 times": { loadFactor: scaleFirstTenant(20) },
  "all organisations at 1.7 times": { loadFactor: () => 1.7 },
  // Longer requests can't meet their deadline in a full batch.
  "long requests among short ones": { loadFactor: () => 1.5, longFactor: 2 },
  "a hot key": { loadFactor: scaleFirstTenant(10), hotProcessFraction: 1 / 16 },
  "a third of the heads gone": { downHeadFraction: 1 / 3 },
  "callers that give up": { loadFactor: () => 1.7, patienceMs: 800 },
  "immediate retries": { loadFactor: () => 2, retriesImmediately: true },
  "3 times the capacity": { loadFactor: () => 5 },
};

/** Targets of the design; cases that miss them are in KNOWN-RED.txt. */
const MIN_VALUE_FRACTION = 0.9;
const MIN_WORST_DECILE_RATIO = 0.5;
const MIN_RECOVERY_FRACTION = 0.95;

describe("admission under overload", () => {
  for (const [site, options] of Object.entries(SITES)) {
    for (const [name, scenario] of Object.entries(SCENARIOS)) {
      it(`serves what it can on site ${site} with ${name}`, () => {
        const result = simulateLoad(options, scenario, SEED);
        const figures = JSON.stringify(result);
        assert(result.valueFraction >= MIN_VALUE_FRACTION, figures);
        assert(result.worstDecileRatio >= MIN_WORST_DECILE_RATIO, figures);
        assert(result.needlessRefusalCount === 0, figures);
        const minOnTimeFraction = MIN_RECOVERY_FRACTION *
          result.onTimeFractionBefore;
        assert(result.onTimeFractionAfter >= minOnTimeFraction, figures);
      });
    }
  }
});
