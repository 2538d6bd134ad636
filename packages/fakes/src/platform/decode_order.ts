import type { InstanceOrder } from "celerytray";

interface WireOrder {
  readonly op: InstanceOrder["kind"];
  readonly group: string;
  readonly epoch: number;
  readonly model: string;
  readonly members: readonly string[];
  readonly close_mode: string;
  readonly fence: number;
}

/** Decodes an order as an instance receives it. */
export function decodeOrder(
  wire: WireOrder,
): InstanceOrder & { readonly fence: number } {
  const { op, group: replica, epoch, model, members, fence } = wire;
  switch (op) {
    case "join":
      return { kind: op, replica, epoch, model, members, fence };
    case "close": {
      const isImmediate = wire.close_mode === "preempt";
      return { kind: op, replica, epoch, isImmediate, fence };
    }
    case "stage":
      return { kind: op, model, fence };
    default:
      return { kind: op, replica, epoch, fence };
  }
}
