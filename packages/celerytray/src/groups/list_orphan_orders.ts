import type { ControllerState } from "./controller_state.ts";
import type { InstanceOrder } from "./instance_orders.ts";
import type { InstanceState } from "./instance_state.ts";
import type { DispatchedOrder } from "./order_dispatcher.ts";
import { isCloseOverdue } from "./replica_run.ts";

/** Input of `listOrphanOrders`. */
export interface OrphanOrdersInput {
  readonly state: ControllerState;
  /** Longest time for which a request to a service may run. */
  readonly longestCallMs: (service: string) => number;
  readonly nowMs: number;
}

/**
 * Orders that dissolve what remains of replicas without a record. Their heads
 * end what they serve before they and their members leave.
 */
export function listOrphanOrders(
  input: OrphanOrdersInput,
): readonly DispatchedOrder[] {
  const { state } = input;
  return [
    ...listCloseOrders(input),
    ...state.listClosedOrphans().flatMap(createLeaveOrder),
    ...state.listOrphanedMembers().filter(({ id }) => state.isAlive(id))
      .flatMap(createLeaveOrder),
  ];
}

function listCloseOrders(
  { state, longestCallMs, nowMs }: OrphanOrdersInput,
): readonly DispatchedOrder[] {
  return state.departures.takePersistentOrphans(state.listOrphans(), nowMs)
    .filter(({ head }) => state.isAlive(head.id))
    .map(({ head: { id, service, membership }, sinceMs }) => {
      const { replica, epoch } = membership!;
      const isImmediate = isCloseOverdue({
        sinceMs,
        longestCallMs: longestCallMs(service),
        nowMs,
      });
      const order: InstanceOrder = {
        kind: "close",
        replica,
        epoch,
        isImmediate,
      };
      return { instanceId: id, order };
    });
}

function createLeaveOrder(
  { id, membership }: InstanceState,
): readonly DispatchedOrder[] {
  if (membership === undefined) return [];
  const { replica, epoch } = membership;
  return [{ instanceId: id, order: { kind: "leave", replica, epoch } }];
}
