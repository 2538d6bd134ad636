import type { FleetState } from "./fleet_state.ts";
import type { InstanceOrder } from "./instance_orders.ts";
import type { DispatchedOrder } from "./order_dispatcher.ts";

/** Orders that end what is left of replicas without a record. */
export function listLeftoverOrders(
  state: FleetState,
  nowMs: number,
): readonly DispatchedOrder[] {
  return [...listOrphanOrders(state, nowMs), ...listStrayOrders(state)];
}

/** Takes apart open replicas that no record tells of. */
function listOrphanOrders(
  state: FleetState,
  nowMs: number,
): readonly DispatchedOrder[] {
  return state.departures.takeLastingOrphans(state.listOrphans(), nowMs)
    .flatMap(({ id, membership }) => {
      if (!state.isAlive(id)) return [];
      const { replica, epoch } = membership!;
      const orders: readonly InstanceOrder[] = [
        { kind: "close", replica, epoch, isImmediate: true },
        { kind: "leave", replica, epoch },
      ];
      return orders.map((order) => ({ instanceId: id, order }));
    });
}

/** Makes instances leave replicas whose head may be open out of reach. */
function listStrayOrders(state: FleetState): readonly DispatchedOrder[] {
  return state.instances.list().flatMap((instance) => {
    const { id, membership } = instance;
    if (!state.departures.isStray(instance) || !state.isAlive(id)) return [];
    const { replica, epoch } = membership!;
    return [{ instanceId: id, order: { kind: "leave", replica, epoch } }];
  });
}
