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

/** Returns the instance and the life that a key names. */
export function splitIncarnationKey(
  incarnation: string,
): { readonly instanceId: string; readonly life: number } {
  const end = incarnation.lastIndexOf(" ");
  if (end < 0) return { instanceId: incarnation, life: 0 };
  return {
    instanceId: incarnation.slice(0, end),
    life: Number(incarnation.slice(end + 1)),
  };
}
