import type { Coordinator } from "../coordination/index.ts";
import type { MetricsPage } from "../journal/index.ts";
import {
  CallAdmission,
  type HeadOccupancy,
  type LoadTracker,
  type ServingTarget,
} from "../serving/index.ts";

/** Dependencies of the admission of a process. */
export interface AdmissionSources {
  readonly coordinator: Pick<
    Coordinator,
    "demandTotals" | "expectedMs" | "statusAgeMs"
  >;
  readonly loads: LoadTracker;
  readonly metrics: MetricsPage;
  readonly listTargets: (
    service: string,
    model: string | undefined,
  ) => readonly ServingTarget[];
}

/** Creates the admission of a process and registers its metrics. */
export function createAdmission(
  { coordinator, loads, metrics, listTargets }: AdmissionSources,
): CallAdmission {
  const refusals = metrics.addCounter({
    name: "celerytray_admission_refusals_total",
    help: "Requests refused before they were sent, by reason and model",
    labelNames: ["reason", "model"],
  });
  const admission = new CallAdmission({
    tenantTotals: () => coordinator.demandTotals()?.byTenant,
    totalsAgeMs: () => coordinator.statusAgeMs(),
    timeToReplicaMs: (model) => coordinator.expectedMs(model),
    headOccupancy: ({ service, model }, nowMs) =>
      findOccupancy(listTargets(service, model), loads, nowMs),
    onRefused: ({ headers }, reason) =>
      refusals.inc({ reason, model: headers.model ?? "" }),
  });
  metrics.addGauge(
    "celerytray_admission_waiting",
    "Requests that wait for a replica of their model",
    () => admission.waiting,
  );
  return admission;
}

function findOccupancy(
  targets: readonly ServingTarget[],
  loads: LoadTracker,
  nowMs: number,
): HeadOccupancy {
  if (targets.length === 0) return "no-heads";
  const isFull = ({ instanceId, slots }: ServingTarget) =>
    loads.estimate(instanceId, nowMs) >= slots;
  return targets.some(isFull) ? "some-full" : "all-free";
}
