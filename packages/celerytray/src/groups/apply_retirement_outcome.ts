import type { OrderOutcome } from "./instance_orders.ts";
import type { DispatchedOrder } from "./order_dispatcher.ts";
import type { ReplicaRun } from "./replica_progress.ts";

/** Updates the retirement of a replica by the outcome of an order. */
export function applyRetirementOutcome(
  run: ReplicaRun,
  { instanceId, order }: DispatchedOrder,
  outcome: OrderOutcome,
): void {
  const { retirement } = run;
  if (retirement === undefined) return;
  const isAccepted = outcome === "begun" || outcome === "holds";
  const hasLeft = order.kind === "leave" && (isAccepted || outcome === "unfit");
  if (hasLeft) run.leftIds.add(instanceId);
  if (instanceId !== run.record.members[0]) return;
  if (order.kind === "close") {
    if (outcome === "begun") retirement.hasBegunClosing = true;
    if (outcome === "holds" || outcome === "unfit") retirement.isClosed = true;
  }
  if (hasLeft) retirement.hasHeadLeft = true;
  if (hasLeft || outcome === "outdated" || outcome === "elsewhere") {
    retirement.isComplete = true;
  }
}
