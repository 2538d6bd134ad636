/** Replicas: their records, planning, readiness and orders. */

// Records
export {
  createReplicaId,
  emptyFleetState,
  type FleetState,
  foldFleetRecord,
  type Replica,
} from "./fold_fleet_record.ts";
export { fleetSnapshotCodec } from "./fleet_snapshot.ts";

// Planning
export {
  type FleetObservation,
  type FleetProposal,
  type ReplicaPlanner,
} from "./planner_types.ts";
export {
  emptyEstimates,
  type FleetEstimates,
  updateEstimates,
} from "./fleet_estimates.ts";
export { planReplicas, RepairPlanner } from "./repair_planner.ts";
export { AlwaysWaitPlanner, ReformAtOncePlanner } from "./baseline_planners.ts";
export { GreedyPlanner } from "./greedy_planner.ts";

// Readiness
export {
  findReplicaHealth,
  isLoading,
  matchesReplica,
  type MemberObservation,
  type ReplicaHealth,
} from "./replica_health.ts";

// Orders
export {
  type AddressedOrder,
  createOrders,
  type OrderInput,
} from "./create_orders.ts";
export { createPreloads, type PreloadInput } from "./create_preloads.ts";
export { type OrderSelection, selectOrders } from "./select_orders.ts";

// Control loops
export { createEngineMonitor, type EngineMonitor } from "./engine_monitor.ts";
export {
  type FleetControllerOptions,
  runFleetController,
} from "./fleet_controller.ts";
