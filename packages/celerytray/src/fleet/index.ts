/** Replicas: which instances make them up, and when they may serve. */

// Records
export {
  createReplicaId,
  emptyFleetState,
  type FleetState,
  foldFleetRecord,
  type Replica,
} from "./fold_fleet_record.ts";

// Planning
export {
  type FleetObservation,
  type FleetProposal,
  GreedyPlanner,
  type ReplicaPlanner,
} from "./plan_replicas.ts";

// Readiness
export {
  findReplicaHealth,
  type MemberObservation,
  type ReplicaHealth,
} from "./replica_health.ts";

// Orders
export { type AddressedOrder, createOrders } from "./create_orders.ts";

// Control loops
export { createEngineMonitor, type EngineMonitor } from "./engine_monitor.ts";
export {
  type FleetControllerOptions,
  runFleetController,
} from "./fleet_controller.ts";
