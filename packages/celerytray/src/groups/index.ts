/** Control of model replicas that span several instances. */
export {
  ReplicaController,
  type ReplicaControllerOptions,
} from "./replica_controller.ts";
export { findReaches, type Reach, type Reaches } from "./find_reaches.ts";
export type { EngineSpecs } from "./formation_planner.ts";
export type { RecordFailure, ReplicaRecorder } from "./replica_recorder.ts";
export type { LeavingIncarnation } from "./leaving_tracker.ts";
export { InstanceListView } from "./instance_list.ts";
export type { RemovedInstance } from "./list_changes.ts";
export {
  type InstanceAddress,
  type InstanceControl,
  type InstanceOrder,
  InstanceSilent,
  type OrderAnswer,
  type OrderOutcome,
  type ProbeAnswer,
  type SilenceReason,
} from "./instance_orders.ts";
export type {
  InstanceState,
  MembershipState,
  ReplicaMembership,
} from "./instance_state.ts";
export {
  createReplicaKey,
  decodeLeader,
  decodeReplica,
  encodeLeader,
  encodeReplica,
  LEADER_KEY,
  type LeaderRecord,
  parseReplicaKey,
  type ReplicaRecord,
} from "./replica_record.ts";
