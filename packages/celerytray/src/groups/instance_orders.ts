import { Data, type Effect } from "effect";
import type { Either } from "purify-ts";

/** An order to an instance. */
export type InstanceOrder =
  | {
    readonly kind: "join";
    readonly replica: string;
    readonly epoch: number;
    readonly model: string;
    /** The first is the head. */
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

/** What an instance made of an order. */
export type OrderOutcome =
  /** It began. */
  | "begun"
  /** The state already holds. */
  | "holds"
  /** It doesn't fit the instance's state. */
  | "unfit"
  /** A newer order or replica went before it. */
  | "outdated"
  /** Another instance has the address. */
  | "elsewhere";

/** An instance's answer to an order. */
export interface OrderAnswer {
  readonly outcome: OrderOutcome;
  /** Whether it says that it leaves. */
  readonly isLeaving: boolean;
}

/** An order or question got no usable answer; it may yet be carried out. */
export class InstanceSilent extends Data.TaggedError("InstanceSilent")<{
  readonly message: string;
  /** Whether the address refused the connection. */
  readonly isRefused: boolean;
}> {}

/** Where to send an order or question. */
export interface InstanceAddress {
  readonly id: string;
  /** IP:PORT. */
  readonly address: string;
}

/** What an instance that answers tells of itself. */
export interface ProbeAnswer {
  /** How many times as long as usual its work takes, or what is unreadable. */
  readonly pace: Either<string, number>;
  /** Time for which it stays cold; not a number if unreadable. */
  readonly coldMs?: number;
  /** Whether it says that it leaves. */
  readonly isLeaving: boolean;
}

/** The orders that instances take. */
export interface InstanceControl {
  sendOrder(
    instance: InstanceAddress,
    order: InstanceOrder & { readonly fence: number },
  ): Effect.Effect<OrderAnswer, InstanceSilent>;
  /** What the instance tells of itself; fails if it doesn't answer in time. */
  probe(
    instance: InstanceAddress,
  ): Effect.Effect<ProbeAnswer, InstanceSilent>;
}
