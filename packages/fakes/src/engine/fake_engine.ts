import type { EngineOrder, EngineStatus } from "@celerytray/schema";
import { randomUUID } from "node:crypto";
import { FakeWeightStore } from "../weight_store/index.ts";

/** Options of a stand-in engine. */
export interface FakeEngineOptions {
  readonly instanceId: string;
  /** Whether it refuses orders with an old fencing number. */
  readonly checksFencing?: boolean;
  /** Time to load a model. */
  readonly loadMs?: number;
  /** Time between two tokens. */
  readonly tokenIntervalMs?: number;
  /** Store that it loads from; its own, with its own rate, by default. */
  readonly weightStore?: FakeWeightStore;
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
  /** Step time that it reports. */
  readonly stepTimeMs?: number;
}

const DEFAULT_LOAD_MS = 200;
const DEFAULT_TOKEN_INTERVAL_MS = 10;

interface HeldWeights {
  readonly model: string;
  readonly modelVersion: string | undefined;
  readonly rank: number;
}

/** An engine's orders and status, without its transport. */
export class FakeEngine {
  faults: FakeEngineFaults = {};
  readonly options: Required<FakeEngineOptions>;
  #bootId = randomUUID();
  #assignment: EngineStatus["assignment"];
  #weights: HeldWeights | undefined;
  #highestFencingNumber = -1;
  runningRequests = 0;

  constructor(options: FakeEngineOptions) {
    this.options = {
      checksFencing: true,
      loadMs: DEFAULT_LOAD_MS,
      tokenIntervalMs: DEFAULT_TOKEN_INTERVAL_MS,
      weightStore: new FakeWeightStore({
        loadMs: options.loadMs ?? DEFAULT_LOAD_MS,
      }),
      ...options,
    };
  }

  /** Loses all that it held, as a process started anew. */
  restart(nowMs: number): void {
    this.options.weightStore.stop(this.options.instanceId, nowMs);
    this.#bootId = randomUUID();
    this.#assignment = undefined;
    this.#weights = undefined;
    this.#highestFencingNumber = -1;
    this.runningRequests = 0;
  }

  /** Carries an order out; false if it is older than one carried out before. */
  applyOrder(order: EngineOrder, nowMs: number): boolean {
    const isStale = order.fencingNumber < this.#highestFencingNumber;
    if (isStale && this.options.checksFencing) return false;
    if (order.kind === "preload") return this.#preload(order, nowMs);
    this.#highestFencingNumber = order.fencingNumber;
    if (order.kind === "release") {
      this.#assignment = undefined;
      return true;
    }
    this.#load(order, nowMs);
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
      ...this.#describeWeights(nowMs),
      ...(this.faults.stepTimeMs === undefined
        ? {}
        : { stepTimeMs: this.faults.stepTimeMs }),
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
    return this.#loadedFraction(nowMs) < 1 ? "loading" : "ready";
  }

  /** An engine that checks nothing loads even while it serves. */
  #preload(order: EngineOrder, nowMs: number): boolean {
    const isBusy = this.#assignment !== undefined;
    if (isBusy && this.options.checksFencing) return false;
    this.#load(order, nowMs);
    return true;
  }

  /** Weights of the same model and rank stay in memory over a release. */
  #load(order: EngineOrder, nowMs: number): void {
    const wanted: HeldWeights = {
      model: order.model ?? "",
      modelVersion: order.modelVersion,
      rank: order.rank ?? 0,
    };
    const held = this.#weights;
    const isHeld = held?.model === wanted.model &&
      held.modelVersion === wanted.modelVersion && held.rank === wanted.rank;
    if (isHeld) return;
    this.#weights = wanted;
    this.options.weightStore.start(this.options.instanceId, nowMs);
  }

  #loadedFraction(nowMs: number): number {
    return this.options.weightStore.fraction(this.options.instanceId, nowMs);
  }

  #describeWeights(nowMs: number): Partial<EngineStatus> {
    if (this.#weights === undefined) return {};
    const { model, modelVersion, rank } = this.#weights;
    return {
      model,
      ...(modelVersion === undefined ? {} : { modelVersion }),
      loadedRank: rank,
      loadedFraction: this.#loadedFraction(nowMs),
    };
  }
}
