import {
  linearRegression,
  linearRegressionLine,
  rSquared,
} from "simple-statistics";

/** A quantity to measure at several sizes. */
export interface SlopeMeasurement {
  readonly name: string;
  /** What the size counts, such as "replicas". */
  readonly per: string;
  /** Unit of the quantity, such as "bytes". */
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly measure: (size: number) => Promise<number>;
}

/** Linear fit of a quantity over its sizes. */
export interface Slope {
  readonly name: string;
  readonly per: string;
  readonly unit: string;
  readonly points: readonly SlopePoint[];
  /** Increase of the quantity when the size grows by one. */
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination of the fit, 0 to 1. */
  readonly rSquared: number;
}

/** The value measured at one size. */
export interface SlopePoint {
  readonly size: number;
  readonly value: number;
}

/** Measures the quantity at each size and fits a line. */
export async function measureSlope(
  measurement: SlopeMeasurement,
): Promise<Slope> {
  // Warm-up: compiles the code and lets the heap reach a steady size.
  await measurement.measure(measurement.sizes[0]!);
  const points: SlopePoint[] = [];
  for (const size of measurement.sizes) {
    points.push({ size, value: await measurement.measure(size) });
  }
  const pairs = points.map(({ size, value }) => [size, value]);
  const line = linearRegression(pairs);
  const { name, per, unit } = measurement;
  return {
    name,
    per,
    unit,
    points,
    slope: line.m,
    intercept: line.b,
    rSquared: rSquared(pairs, linearRegressionLine(line)),
  };
}
