import type { ServingTarget } from "./choose_target.ts";

/** The properties that tell the lives of an instance apart. */
export type IncarnatedTarget = Pick<
  ServingTarget,
  "instanceId" | "bornAtMs" | "epoch"
>;

/** Names an instance in its present life. */
export function createIncarnationKey(
  { instanceId, bornAtMs, epoch }: IncarnatedTarget,
): string {
  return `${instanceId} ${bornAtMs ?? epoch}`;
}
