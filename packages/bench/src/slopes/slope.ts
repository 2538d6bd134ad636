import {
  linearRegression,
  linearRegressionLine,
  rSquared,
} from "simple-statistics";

/** A quantity measured at several sizes. */
export interface SlopeMeasurement {
  readonly name: string;
  /** What the size counts, such as "replicas". */
  readonly per: string;
  /** Unit of the quantity, such as "bytes". */
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly measure: (size: number) => Promise<number>;
}

/** The fit of a quantity over its sizes. */
export interface Slope {
  readonly name: string;
  readonly per: string;
  readonly unit: string;
  readonly points: readonly SlopePoint[];
  /** Units for one more of what the size counts. */
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains, 0 to 1. */
  readonly rSquared: number;
}

/** One measured size. */
export interface SlopePoint {
  readonly size: number;
  readonly value: number;
}

/** Measures every size and fits a line. */
export async function measureSlope(
  measurement: SlopeMeasurement,
): Promise<Slope> {
  // A first run, not counted, compiles the code and settles the heap.
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
