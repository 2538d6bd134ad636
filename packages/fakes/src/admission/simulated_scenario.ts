import type { SimulatedRequestKind } from "./simulated_arrivals.ts";

/** Size and request mix of a deployment. */
export interface SimulatedSite {
  readonly processes: number;
  readonly heads: number;
  readonly slots: number;
  readonly kinds: readonly SimulatedRequestKind[];
}

/** Deviations from base load during the overload phase. */
export interface SimulatedScenario {
  /** Factor on the base load of an organisation, by index from 0. */
  readonly loadFactor?: (tenant: number) => number;
  /** Fraction of the heads that is down. */
  readonly downHeadFraction?: number;
  /** Fraction of the processes that gets the requests of organisation 0. */
  readonly hotProcessFraction?: number;
  /** Time after which callers leave if there is no first token. */
  readonly patienceMs?: number;
  /** Whether callers ignore Retry-After and retry immediately. */
  readonly retriesImmediately?: boolean;
  /** Factor on the tokens of one request in ten. */
  readonly longFactor?: number;
}

/** Result of a simulation. */
export interface SimulationResult {
  /** Value served, as a fraction of the offline bound. */
  readonly valueFraction: number;
  /**
   * Mean value fraction of the worst-served tenth of organisations, relative to
   * the mean over all.
   */
  readonly worstDecileRatio: number;
  /** Refusals while under half of the slots were taken and none waited. */
  readonly needlessRefusalCount: number;
  /** Fraction on time of the arrivals from 2 s after the overload on. */
  readonly onTimeFractionAfter: number;
  /** Fraction on time of the arrivals before the overload. */
  readonly onTimeFractionBefore: number;
  readonly refusedCount: number;
  readonly arrivedCount: number;
  /** Mean fraction of the slots in use during the overload. */
  readonly utilisation: number;
}
