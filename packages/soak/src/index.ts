/** Randomised faults against real processes. */
export { bounds, checks, type SoakCheck } from "./checks.ts";
export { createPlan, describePlan, type SoakPlan } from "./plan.ts";
export { runSoak, type SoakResult, type SoakRun } from "./run_seed.ts";
