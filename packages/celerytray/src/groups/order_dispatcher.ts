import { Effect } from "effect";
import type { EngineSpec } from "../serving/index.ts";
import type {
  InstanceControl,
  InstanceOrder,
  OrderAnswer,
} from "./instance_orders.ts";
import type { InstanceState } from "./instance_state.ts";
import { LoadLimit } from "./load_limit.ts";
import type { ReplicaRun } from "./replica_run.ts";

/** An order and what it is for. */
export interface DispatchedOrder {
  readonly instanceId: string;
  readonly order: InstanceOrder;
  /** Replica that it is for; undefined for spares and leftovers. */
  readonly run?: ReplicaRun;
}

/** What sending orders works with. */
export interface OrderDispatcherOptions {
  readonly control: InstanceControl;
  readonly fence: () => number;
  /** Where an instance is or last was. */
  readonly findAddress: (instanceId: string) => string | undefined;
  readonly findInstance: (instanceId: string) => InstanceState | undefined;
  readonly hotModel: (instanceId: string) => string | undefined;
  /** Bounds on loads; undefined while loads don't count. */
  readonly loadBounds: () => EngineSpec | undefined;
  readonly onSent: (order: DispatchedOrder, nowMs: number) => void;
  readonly onAnswered: (
    order: DispatchedOrder,
    answer: OrderAnswer,
    sentAtMs: number,
  ) => void;
  readonly onSilent: (
    order: DispatchedOrder,
    failure: { readonly message: string; readonly isRefused: boolean },
  ) => void;
}

/** Wait for the answer to an order before it is sent once more. */
const ORDER_REPEAT_MS = 700;
/** Wait before an immediate closing is asked for again. */
const CLOSING_CHECK_MS = 40;
/** Wait before an order without a replica is sent once more. */
const SPARE_REPEAT_MS = 3_000;
/** Wait before the loading of weights to a host is ordered once more. */
const STAGE_REPEAT_MS = 40_000;
/** Loads that an earlier leader may have begun just now. */
const ASSUMED_LOADS = 8;

/** Sends orders, none too soon again and no more loads than are allowed. */
export class OrderDispatcher {
  readonly #options: OrderDispatcherOptions;
  /** Time from which an order of a kind may be sent again. */
  readonly #dueAtMs = new Map<string, number>();
  #limit: LoadLimit | undefined;

  constructor(options: OrderDispatcherOptions) {
    this.#options = options;
  }

  /** Sends an order, unless one was sent just now or may not load yet. */
  send(
    dispatcher: DispatchedOrder,
    nowMs: number,
  ): readonly Effect.Effect<unknown>[] {
    const { instanceId, order } = dispatcher;
    const address = this.#options.findAddress(instanceId);
    const key = createKey(dispatcher);
    if (address === undefined) return [];
    if (nowMs < (this.#dueAtMs.get(key) ?? nowMs)) return [];
    if (this.#needsLoad(instanceId, order) && !this.#tryBeginLoad(nowMs)) {
      return [];
    }
    this.#dueAtMs.set(key, nowMs + repeatMsOf(dispatcher));
    this.#options.onSent(dispatcher, nowMs);
    const fence = this.#options.fence();
    return [
      this.#options.control.sendOrder({ id: instanceId, address }, {
        ...order,
        fence,
      }).pipe(
        Effect.match({
          onSuccess: (answer) => {
            // A closing that began is soon asked for again.
            if (
              order.kind === "close" && order.isImmediate &&
              answer.outcome === "begun"
            ) this.#dueAtMs.set(key, nowMs + CLOSING_CHECK_MS);
            this.#options.onAnswered(dispatcher, answer, nowMs);
          },
          onFailure: (failure) => this.#options.onSilent(dispatcher, failure),
        }),
      ),
    ];
  }

  #needsLoad(instanceId: string, order: InstanceOrder): boolean {
    if (order.kind !== "stage" && order.kind !== "join") return false;
    const { findInstance, hotModel } = this.#options;
    const staged = findInstance(instanceId)?.stagedModels ?? [];
    if (staged.includes(order.model)) return false;
    return order.kind === "stage" || hotModel(instanceId) !== order.model;
  }

  #tryBeginLoad(nowMs: number): boolean {
    const bounds = this.#options.loadBounds();
    if (bounds === undefined) return true;
    this.#limit ??= new LoadLimit({
      loadsPerSecond: bounds.loadsPerSecond,
      assumedLoads: ASSUMED_LOADS,
      nowMs,
    });
    return this.#limit.tryBegin(nowMs);
  }
}

function createKey({ instanceId, order, run }: DispatchedOrder): string {
  return `${instanceId} ${order.kind} ${run?.record.name ?? ""}`;
}

function repeatMsOf({ order, run }: DispatchedOrder): number {
  if (run !== undefined) return ORDER_REPEAT_MS;
  return order.kind === "stage" ? STAGE_REPEAT_MS : SPARE_REPEAT_MS;
}
