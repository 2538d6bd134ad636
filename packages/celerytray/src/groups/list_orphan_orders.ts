import type { ControllerState } from "./controller_state.ts";
import type { InstanceOrder } from "./instance_orders.ts";
import type { DispatchedOrder } from "./order_dispatcher.ts";

/** Orders that dissolve what remains of replicas without a record. */
export function listOrphanOrders(
  state: ControllerState,
  nowMs: number,
): readonly DispatchedOrder[] {
  return [...listHeadOrders(state, nowMs), ...listMemberOrders(state)];
}

/** Closes the open heads of replicas without a record and makes them leave. */
function listHeadOrders(
  state: ControllerState,
  nowMs: number,
): readonly DispatchedOrder[] {
  return state.departures.takePersistentOrphans(state.listOrphans(), nowMs)
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

/** Makes members leave replicas whose head may be unreachable and open. */
function listMemberOrders(state: ControllerState): readonly DispatchedOrder[] {
  return state.listOrphanedMembers().flatMap(({ id, membership }) => {
    if (!state.isAlive(id)) return [];
    const { replica, epoch } = membership!;
    return [{ instanceId: id, order: { kind: "leave", replica, epoch } }];
  });
}
