import type { SimulatedKind } from "./simulated_arrivals.ts";

/** A deployment. */
export interface SimulatedSite {
  readonly processes: number;
  readonly heads: number;
  readonly slots: number;
  readonly kinds: readonly SimulatedKind[];
}

/** What differs from usual load between two times. */
export interface SimulatedScenario {
  /** Factor on the usual load of an organisation, from 0 on. */
  readonly loadFactor?: (tenant: number) => number;
  /** Part of the heads that is gone. */
  readonly goneHeads?: number;
  /** Part of the processes that gets the requests of organisation 0. */
  readonly hotPart?: number;
  /** Time after which callers leave without a first token. */
  readonly patienceMs?: number;
  /** Whether callers come back at once, whatever Retry-After says. */
  readonly retriesAtOnce?: boolean;
  /** Factor on the tokens of one request in ten. */
  readonly longFactor?: number;
}

/** What came of a simulation. */
export interface SimulationResult {
  /** Value served, in parts of the offline bound. */
  readonly valuePart: number;
  /** Least mean of a tenth of the organisations, in parts of the mean. */
  readonly worstTenth: number;
  /** Refusals while under half of the places were taken and none waited. */
  readonly needlessRefusals: number;
  /** Part on time of what arrives over 2 s after the overload. */
  readonly onTimeAfter: number;
  readonly onTimeBefore: number;
  readonly refused: number;
  readonly arrived: number;
  /** Mean part of the slots in use during the overload. */
  readonly use: number;
}
