import type { FaultAction } from "./fault_action.ts";

/** An action with its start in the series and its duration. */
export interface PlannedFault {
  readonly atMs: number;
  readonly durationMs: number;
  readonly action: FaultAction;
}

/** Targets of the faults. */
export interface PlanTargets {
  readonly processes: readonly string[];
  readonly instances: readonly string[];
  /** Model instances that are enough for one replica. */
  readonly replicas: readonly (readonly string[])[];
  readonly zones: readonly string[];
  /** Processes of each zone. */
  readonly zoneProcesses: readonly (readonly string[])[];
  /** Keys that may be withdrawn, each only once. */
  readonly keys: readonly string[];
}
