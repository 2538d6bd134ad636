import { Data, type Effect } from "effect";
import type { Either } from "purify-ts";

/** An order to an instance. */
export type InstanceOrder =
  | {
    readonly kind: "join";
    readonly replica: string;
    readonly epoch: number;
    readonly model: string;
    /** Identifiers of the instances; the first is the head. */
    readonly members: readonly string[];
  }
  | {
    readonly kind: "open" | "leave";
    readonly replica: string;
    readonly epoch: number;
  }
  | {
    readonly kind: "close";
    readonly replica: string;
    readonly epoch: number;
    /** Whether requests in progress are cut off. */
    readonly isImmediate: boolean;
  }
  | { readonly kind: "stage"; readonly model: string };

/** Outcome of an order at an instance. */
export type OrderOutcome =
  /** The instance has begun to carry it out. */
  | "begun"
  /** The instance is already in the ordered state. */
  | "holds"
  /** The order is not allowed in the instance's state. */
  | "unfit"
  /** The instance has seen a newer order or replica. */
  | "outdated"
  /** Another instance answers at the address. */
  | "elsewhere";

/** An instance's answer to an order. */
export interface OrderAnswer {
  readonly outcome: OrderOutcome;
  /** Whether the instance reports that it leaves. */
  readonly isLeaving: boolean;
}

/**
 * Why there is no usable answer. `refused`: nothing listens on the address.
 * `replaced`: another instance answers at it. `unreachable`: no connection was
 * made. `unanswered`: there was a connection.
 */
export type SilenceReason =
  | "refused"
  | "replaced"
  | "unreachable"
  | "unanswered";

/** An order or probe got no usable answer; an order may still take effect. */
export class InstanceSilent extends Data.TaggedError("InstanceSilent")<{
  readonly message: string;
  readonly reason: SilenceReason;
}> {}

/** Address for an order or probe. */
export interface InstanceAddress {
  readonly id: string;
  /** IP:PORT. */
  readonly address: string;
}

/** What an instance reports when it is probed. */
export interface ProbeAnswer {
  /** Duration of its work relative to the usual one; Left if malformed. */
  readonly pace: Either<string, number>;
  /** Time for which it stays cold; NaN if malformed. */
  readonly coldMs?: number;
  /** Whether the instance reports that it leaves. */
  readonly isLeaving: boolean;
}

/** Client for the orders and probes of instances. */
export interface InstanceControl {
  /** Sends an order; `fence` is the leader's fencing number. */
  sendOrder(
    instance: InstanceAddress,
    order: InstanceOrder & { readonly fence: number },
  ): Effect.Effect<OrderAnswer, InstanceSilent>;
  /** Probes an instance; fails if it does not answer in time. */
  probe(
    instance: InstanceAddress,
  ): Effect.Effect<ProbeAnswer, InstanceSilent>;
}
