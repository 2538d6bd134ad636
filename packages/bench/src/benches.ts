import { admissionBench } from "./admission/index.ts";
import { attemptsBench } from "./attempts/attempts_bench.ts";
import { claimsBench } from "./claims/claims_bench.ts";
import { configBench } from "./config/config_bench.ts";
import { formationBench } from "./formation/formation_bench.ts";
import { fuzzBench } from "./fuzz/fuzz_bench.ts";
import { membershipBench } from "./membership/membership_bench.ts";
import { relayBench } from "./relay/relay_bench.ts";
import { routingBench } from "./routing/index.ts";
import { slopesBench } from "./slopes/index.ts";

/** What a measurement found. */
export interface BenchResult {
  /** One object per line of the table. */
  readonly rows: readonly Readonly<Record<string, string | number | boolean>>[];
  /** Whether each stated target was reached, with the figure. */
  readonly targets: readonly {
    readonly target: string;
    readonly measured: string;
    readonly isReached: boolean;
  }[];
}

/** A named measurement. */
export interface Bench {
  readonly name: string;
  readonly description: string;
  readonly run: () => Promise<BenchResult>;
}

/** All measurements, by name. */
export const benches: readonly Bench[] = [
  admissionBench,
  attemptsBench,
  claimsBench,
  configBench,
  formationBench,
  fuzzBench,
  membershipBench,
  relayBench,
  routingBench,
  slopesBench,
];
