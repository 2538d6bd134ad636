import type { OrderOutcome } from "./instance_orders.ts";
import type { DispatchedOrder } from "./order_dispatcher.ts";
import type { ReplicaRun } from "./replica_run.ts";

/** Takes note of what an order did to a replica that is taken apart. */
export function noteRetiringOrder(
  run: ReplicaRun,
  { instanceId, order }: DispatchedOrder,
  outcome: OrderOutcome,
): void {
  const { retiring } = run;
  if (retiring === undefined) return;
  const isTaken = outcome === "begun" || outcome === "holds";
  const hasLeft = order.kind === "leave" && (isTaken || outcome === "unfit");
  if (hasLeft) run.leftIds.add(instanceId);
  if (instanceId !== run.record.members[0]) return;
  if (order.kind === "close") {
    if (outcome === "begun") retiring.hasBegunClosing = true;
    if (outcome === "holds" || outcome === "unfit") retiring.isClosed = true;
  }
  if (hasLeft) retiring.hasHeadLeft = true;
  if (hasLeft || outcome === "outdated" || outcome === "elsewhere") {
    retiring.isFreed = true;
  }
}
