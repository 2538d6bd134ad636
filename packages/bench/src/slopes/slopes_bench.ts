import type { Bench, BenchResult } from "../bench.ts";
import { decisionSlopes } from "./decision_slopes.ts";
import { measureSlope, type Slope } from "./slope.ts";
import { stateSlopes } from "./state_slopes.ts";
import { transportSlopes } from "./transport_slopes.ts";

/** Measures all slopes that the capacity page uses. */
export const slopesBench: Bench = {
  name: "slopes",
  description: "time, memory and traffic over size, for docs/CAPACITY.md",
  run: async (): Promise<BenchResult> => {
    const slopes: Slope[] = [];
    for (
      const measurement of [
        ...stateSlopes,
        ...transportSlopes,
        ...decisionSlopes,
      ]
    ) {
      slopes.push(await measureSlope(measurement));
    }
    return { rows: slopes.map(createRow), targets: [] };
  },
};

function createRow(slope: Slope): Record<string, string | number> {
  const points = slope.points.map(({ size, value }) =>
    `${size}:${Math.round(value)}`
  );
  return {
    name: slope.name,
    unit: `${slope.unit} per ${slope.per}`,
    slope: roundTo(slope.slope),
    intercept: roundTo(slope.intercept),
    rSquared: roundTo(slope.rSquared),
    points: points.join(" "),
  };
}

const SIGNIFICANT_DIGITS = 4;

function roundTo(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}
