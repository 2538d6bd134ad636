import type { CallRouter, ReplicaLoad, RoutingCall } from "../routing/index.ts";
import type { ServiceFailures } from "./recent_failures.ts";

/** What a choice among back ends depends on. */
export interface ChooseBackendOptions {
  readonly dependencies: {
    readonly router: CallRouter;
    readonly failures: ServiceFailures;
  };
  readonly service: string;
  /** Back ends that this request tried already. */
  readonly triedIds: ReadonlySet<string>;
  readonly call: RoutingCall;
  readonly nowMs: number;
}

/** Chooses an untried back end, one that did not fail lately if there is one. */
export function chooseBackend<Candidate extends ReplicaLoad>(
  candidates: readonly Candidate[],
  options: ChooseBackendOptions,
): Candidate | undefined {
  const { dependencies, service, triedIds, call, nowMs } = options;
  const { router, failures } = dependencies;
  const avoidedIds = failures.get(service).findAvoided(
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
