import type { ServedModel } from "../serving/index.ts";

/** Model of six instances, for tests. */
export const LARGE: ServedModel = {
  name: "large",
  size: 6,
  instanceShare: 0.67,
  pace: 1,
  loadMs: 16_000,
  warmMs: 1_600,
};
/** Model of three instances, for tests. */
export const SMALL: ServedModel = {
  name: "small",
  size: 3,
  instanceShare: 0.33,
  pace: 0.6,
  loadMs: 12_000,
  warmMs: 1_100,
};
