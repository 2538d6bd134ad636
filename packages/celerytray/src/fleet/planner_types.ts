import type { ConfigSet, Instance } from "@celerytray/schema";
import type { FleetState } from "./fold_fleet_record.ts";
import type { MemberObservation } from "./replica_health.ts";

/** Input of a planning round. */
export interface FleetObservation {
  readonly config: ConfigSet;
  readonly fleet: FleetState;
  /** The platform's instance list, which may lag. */
  readonly instances: readonly Instance[];
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly nowMs: number;
}

/** A change of the fleet to append to the log. */
export type FleetProposal =
  | {
    readonly kind: "form";
    readonly service: string;
    readonly slot: number;
    readonly members: readonly string[];
  }
  | {
    readonly kind: "replace";
    readonly service: string;
    readonly slot: number;
    readonly fencingNumber: number;
    readonly members: readonly string[];
    readonly reason: string;
  }
  | {
    readonly kind: "dissolve";
    readonly service: string;
    readonly slot: number;
    readonly fencingNumber: number;
    readonly reason: string;
  };

/** Decides which replicas to form, to repair and to dissolve. */
export interface ReplicaPlanner {
  /** Observes a round; called also while another process makes proposals. */
  observe(observation: FleetObservation): void;
  /** Proposes the changes of a round. */
  plan(observation: FleetObservation): readonly FleetProposal[];
}

/** Age of an observation above which an instance counts as absent. */
export const ABSENT_AFTER_MS = 5_000;

/** Whether an instance was seen recently and is not leaving. */
export function isUsable(
  member: string,
  observation: FleetObservation,
): boolean {
  return isPresent(member, observation) &&
    observation.observations.get(member)?.status.leaving !== true;
}

/** Whether an instance was seen recently. */
export function isPresent(
  member: string,
  observation: FleetObservation,
): boolean {
  const seen = observation.observations.get(member);
  return seen !== undefined &&
    observation.nowMs - seen.observedAtMs <= ABSENT_AFTER_MS;
}
