import { Effect } from "effect";
import type { EngineSpec } from "../serving/index.ts";
import type {
  InstanceControl,
  InstanceOrder,
  OrderAnswer,
} from "./instance_orders.ts";
import type { InstanceState } from "./instance_state.ts";
import { LoadRateLimiter } from "./load_rate_limiter.ts";
import type { LeadProof } from "./lead_proof.ts";
import type { ReplicaRun } from "./replica_progress.ts";

/** An order, its instance and the replica that it is for. */
export interface DispatchedOrder {
  readonly instanceId: string;
  readonly order: InstanceOrder;
  /** Undefined for orders to spares and to orphans. */
  readonly run?: ReplicaRun;
}

/** Dependencies of an order dispatcher. */
export interface OrderDispatcherOptions {
  readonly control: InstanceControl;
  /** Proves that this process leads, before orders that end work. */
  readonly leadProof: LeadProof;
  readonly fencingNumber: () => number;
  /** Current or last known address of an instance. */
  readonly findAddress: (instanceId: string) => string | undefined;
  readonly findInstance: (instanceId: string) => InstanceState | undefined;
  readonly heldModel: (instanceId: string) => string | undefined;
  /** Engine whose load rate applies; undefined while loads are not limited. */
  readonly loadBounds: () => EngineSpec | undefined;
  readonly onSent: (order: DispatchedOrder, nowMs: number) => void;
  readonly onAnswered: (
    order: DispatchedOrder,
    answer: OrderAnswer,
    sentAtMs: number,
  ) => void;
  readonly onSilent: (
    order: DispatchedOrder,
    failure: { readonly message: string },
  ) => void;
  /** Called if an order was not sent for want of a proof. */
  readonly onUnproven: (
    order: DispatchedOrder,
    failure: { readonly message: string },
  ) => void;
}

/** Time after which an order for a replica is sent again. */
const ORDER_RETRY_MS = 700;
/** Time after which an immediate close that has begun is ordered again. */
const CLOSE_RETRY_MS = 40;
/** Time after which an order without a replica is sent again. */
const SPARE_RETRY_MS = 3_000;
/** Time after which the staging of weights is ordered again. */
const STAGE_RETRY_MS = 40_000;
/** Loads that a previous leader may have begun just before. */
const ASSUMED_LOADS = 8;

/** Sends orders, limiting their retries and the rate of weight loads. */
export class OrderDispatcher {
  readonly #options: OrderDispatcherOptions;
  /** Time from which an order may be sent again, by `createKey`. */
  readonly #dueAtMs = new Map<string, number>();
  #limiter: LoadRateLimiter | undefined;

  constructor(options: OrderDispatcherOptions) {
    this.#options = options;
  }

  /** Effect that sends an order; none if its retry or load is not due yet. */
  send(
    dispatched: DispatchedOrder,
    nowMs: number,
  ): readonly Effect.Effect<unknown>[] {
    const { instanceId, order, run } = dispatched;
    const address = this.#options.findAddress(instanceId);
    const key = createKey(dispatched);
    if (address === undefined) return [];
    if (nowMs < (this.#dueAtMs.get(key) ?? nowMs)) return [];
    if (this.#needsLoad(instanceId, order) && !this.#tryBeginLoad(nowMs)) {
      return [];
    }
    this.#dueAtMs.set(key, nowMs + retryIntervalMs(dispatched));
    this.#options.onSent(dispatched, nowMs);
    const sent = this.#sendNow(dispatched, { address, key, nowMs });
    if (!endsWork(order)) return [sent];
    return [
      this.#options.leadProof.prove(run?.retirement?.sinceMs ?? nowMs).pipe(
        Effect.matchEffect({
          onSuccess: () => sent,
          onFailure: (failure) =>
            Effect.sync(() => this.#options.onUnproven(dispatched, failure)),
        }),
      ),
    ];
  }

  #sendNow(
    dispatched: DispatchedOrder,
    { address, key, nowMs }: {
      readonly address: string;
      readonly key: string;
      readonly nowMs: number;
    },
  ): Effect.Effect<void> {
    const { instanceId, order } = dispatched;
    const fence = this.#options.fencingNumber();
    return this.#options.control.sendOrder({ id: instanceId, address }, {
      ...order,
      fence,
    }).pipe(
      Effect.match({
        onSuccess: (answer) => {
          // Ordered again soon, to learn when the close has finished.
          if (
            order.kind === "close" && order.isImmediate &&
            answer.outcome === "begun"
          ) this.#dueAtMs.set(key, nowMs + CLOSE_RETRY_MS);
          this.#options.onAnswered(dispatched, answer, nowMs);
        },
        onFailure: (failure) => this.#options.onSilent(dispatched, failure),
      }),
    );
  }

  #needsLoad(instanceId: string, order: InstanceOrder): boolean {
    if (order.kind !== "stage" && order.kind !== "join") return false;
    const { findInstance, heldModel } = this.#options;
    const staged = findInstance(instanceId)?.stagedModels ?? [];
    if (staged.includes(order.model)) return false;
    return order.kind === "stage" || heldModel(instanceId) !== order.model;
  }

  #tryBeginLoad(nowMs: number): boolean {
    const bounds = this.#options.loadBounds();
    if (bounds === undefined) return true;
    this.#limiter ??= new LoadRateLimiter({
      loadsPerSecond: bounds.loadsPerSecond,
      assumedLoads: ASSUMED_LOADS,
      nowMs,
    });
    return this.#limiter.tryAcquire(nowMs);
  }
}

/**
 * Whether an order may end what an instance works on. A join can't: instances
 * refuse one of an earlier epoch, and each epoch was stored by a leader.
 */
function endsWork({ kind }: InstanceOrder): boolean {
  return kind === "close" || kind === "leave";
}

function createKey({ instanceId, order, run }: DispatchedOrder): string {
  // One that interrupts doesn't wait for the repeat of one that doesn't.
  const isImmediate = order.kind === "close" && order.isImmediate;
  const kind = isImmediate ? "interrupt" : order.kind;
  return `${instanceId} ${kind} ${run?.record.name ?? ""}`;
}

function retryIntervalMs({ order, run }: DispatchedOrder): number {
  if (run !== undefined) return ORDER_RETRY_MS;
  return order.kind === "stage" ? STAGE_RETRY_MS : SPARE_RETRY_MS;
}
