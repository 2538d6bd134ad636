import { admissionBench } from "./admission/index.ts";
import { attemptsBench } from "./attempts/attempts_bench.ts";
import type { Bench } from "./bench.ts";
import { claimsBench } from "./claims/claims_bench.ts";
import { configBench } from "./config/config_bench.ts";
import { formationBench } from "./formation/formation_bench.ts";
import { fuzzBench } from "./fuzz/fuzz_bench.ts";
import { membershipBench } from "./membership/membership_bench.ts";
import { relayBench } from "./relay/relay_bench.ts";
import { routingBench } from "./routing/index.ts";
import { slopesBench } from "./slopes/index.ts";

/** All benchmarks, sorted by name. */
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
