import type { CallRouter, ReplicaLoad, RoutingCall } from "../routing/index.ts";
import type { ServiceFailures } from "./recent_failures.ts";

/** Options of the choice of a back end. */
export interface ChooseBackendOptions {
  readonly dependencies: {
    readonly router: CallRouter;
    readonly failures: ServiceFailures;
  };
  readonly service: string;
  /** Ids of the back ends already attempted for this request. */
  readonly triedIds: ReadonlySet<string>;
  readonly call: RoutingCall;
  readonly nowMs: number;
}

/** Chooses an untried back end, preferably one without recent failures. */
export function chooseBackend<Candidate extends ReplicaLoad>(
  candidates: readonly Candidate[],
  options: ChooseBackendOptions,
): Candidate | undefined {
  const { dependencies, service, triedIds, call, nowMs } = options;
  const { router, failures } = dependencies;
  const avoidedIds = failures.get(service).listAvoidedIds(
    candidates.length,
    nowMs,
  );
  if (avoidedIds.length > 0) {
    const excludedIds = new Set([...triedIds, ...avoidedIds]);
    const preferred = router.choose(candidates, { ...call, excludedIds });
    if (preferred !== undefined) return preferred;
  }
  return router.choose(candidates, { ...call, excludedIds: triedIds });
}
