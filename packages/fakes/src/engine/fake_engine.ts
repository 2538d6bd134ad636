import type { EngineOrder, EngineStatus } from "@celerytray/schema";
import { randomUUID } from "node:crypto";

/** Options of a stand-in engine. */
export interface FakeEngineOptions {
  readonly instanceId: string;
  /** Whether it refuses orders with an old fencing number. */
  readonly checksFencing?: boolean;
  /** Time to load a model. */
  readonly loadMs?: number;
  /** Time between two tokens. */
  readonly tokenIntervalMs?: number;
}

/** Faults that can be switched on. */
export interface FakeEngineFaults {
  /** Stops each stream after so many tokens. */
  readonly cutAfterTokens?: number;
  /** Goes silent in each stream after so many tokens. */
  readonly silentAfterTokens?: number;
  /** Sends one token of another answer after so many tokens. */
  readonly crossAfterTokens?: number;
  readonly leaving?: boolean;
}

const DEFAULT_LOAD_MS = 200;
const DEFAULT_TOKEN_INTERVAL_MS = 10;

/** An engine's orders and status, without its transport. */
export class FakeEngine {
  faults: FakeEngineFaults = {};
  readonly options: Required<FakeEngineOptions>;
  readonly #bootId = randomUUID();
  #assignment: EngineStatus["assignment"];
  #model: string | undefined;
  #readyAtMs = 0;
  #highestFencingNumber = -1;
  runningRequests = 0;

  constructor(options: FakeEngineOptions) {
    this.options = {
      checksFencing: true,
      loadMs: DEFAULT_LOAD_MS,
      tokenIntervalMs: DEFAULT_TOKEN_INTERVAL_MS,
      ...options,
    };
  }

  /** Carries an order out; false if it is older than one carried out before. */
  takeOrder(order: EngineOrder, nowMs: number): boolean {
    const isStale = order.fencingNumber < this.#highestFencingNumber;
    if (isStale && this.options.checksFencing) return false;
    this.#highestFencingNumber = order.fencingNumber;
    if (order.kind === "release") {
      this.#assignment = undefined;
      return true;
    }
    if (order.model !== this.#model || this.#assignment === undefined) {
      this.#readyAtMs = nowMs + this.options.loadMs;
    }
    this.#model = order.model;
    this.#assignment = {
      replicaId: order.replicaId ?? "",
      fencingNumber: order.fencingNumber,
      rank: order.rank ?? 0,
      memberCount: order.memberAddresses?.length ?? 1,
    };
    return true;
  }

  /** What the engine reports of itself. */
  status(nowMs: number): EngineStatus {
    return {
      instanceId: this.options.instanceId,
      bootId: this.#bootId,
      state: this.#state(nowMs),
      runningRequests: this.runningRequests,
      waitingRequests: 0,
      ...(this.faults.leaving === true ? { leaving: true } : {}),
      ...(this.#assignment === undefined
        ? {}
        : { assignment: this.#assignment }),
      ...(this.#model === undefined ? {} : { model: this.#model }),
    };
  }

  /** Whether a request that names a replica and fencing number may run here. */
  accepts(
    target: { readonly replicaId: string; readonly fencingNumber: number },
    nowMs: number,
  ): boolean {
    if (this.#state(nowMs) !== "ready" || this.#assignment?.rank !== 0) {
      return false;
    }
    if (!this.options.checksFencing) return true;
    return this.#assignment.replicaId === target.replicaId &&
      this.#assignment.fencingNumber === target.fencingNumber;
  }

  #state(nowMs: number): EngineStatus["state"] {
    if (this.#assignment === undefined) return "idle";
    return nowMs < this.#readyAtMs ? "loading" : "ready";
  }
}
