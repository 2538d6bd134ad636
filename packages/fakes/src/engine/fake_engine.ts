import type { EngineOrder, EngineStatus } from "@celerytray/schema";
import { randomUUID } from "node:crypto";
import { FakeWeightStore } from "../weight_store/index.ts";

/** Options of a fake engine. */
export interface FakeEngineOptions {
  readonly instanceId: string;
  /** Whether it refuses orders and requests with an outdated fencing number. */
  readonly checksFencing?: boolean;
  /** Time to load a model at the full rate. */
  readonly loadMs?: number;
  /** Time before each token. */
  readonly tokenIntervalMs?: number;
  /** Store that it loads from; by default one of its own, whose rate is not shared. */
  readonly weightStore?: FakeWeightStore;
}

/** Faults that can be switched on. */
export interface FakeEngineFaults {
  /** Closes the connection of each stream abruptly after this many tokens. */
  readonly cutAfterTokens?: number;
  /** Stops sending in each stream after this many tokens, with the connection open. */
  readonly silentAfterTokens?: number;
  /** Sends one token of another response after this many tokens. */
  readonly crossAfterTokens?: number;
  readonly leaving?: boolean;
  /** Step time that the engine reports. */
  readonly stepTimeMs?: number;
}

const DEFAULT_LOAD_MS = 200;
const DEFAULT_TOKEN_INTERVAL_MS = 10;

interface LoadedWeights {
  readonly model: string;
  readonly modelVersion: string | undefined;
  readonly rank: number;
}

/** A fake engine's state: its orders and its status, without transport. */
export class FakeEngine {
  faults: FakeEngineFaults = {};
  readonly options: Required<FakeEngineOptions>;
  #bootId = randomUUID();
  #assignment: EngineStatus["assignment"];
  #weights: LoadedWeights | undefined;
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

  /** Resets all state, as a restart of the process does. */
  restart(nowMs: number): void {
    this.options.weightStore.stop(this.options.instanceId, nowMs);
    this.#bootId = randomUUID();
    this.#assignment = undefined;
    this.#weights = undefined;
    this.#highestFencingNumber = -1;
    this.runningRequests = 0;
  }

  /**
   * Applies an order. With `checksFencing`, returns false if the fencing number is
   * outdated, or if a preload comes while the engine is assigned to a replica.
   */
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

  /** Returns the status that the engine reports. */
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

  /** Whether a request with this replica id and fencing number may run on this engine. */
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

  /** Preloads weights. Without `checksFencing`, the engine does so even while it serves. */
  #preload(order: EngineOrder, nowMs: number): boolean {
    const isBusy = this.#assignment !== undefined;
    if (isBusy && this.options.checksFencing) return false;
    this.#load(order, nowMs);
    return true;
  }

  /**
   * Loads weights, unless those of the same model, version and rank are still in
   * memory; they stay there after a release.
   */
  #load(order: EngineOrder, nowMs: number): void {
    const wanted: LoadedWeights = {
      model: order.model ?? "",
      modelVersion: order.modelVersion,
      rank: order.rank ?? 0,
    };
    const loaded = this.#weights;
    const isLoaded = loaded?.model === wanted.model &&
      loaded.modelVersion === wanted.modelVersion &&
      loaded.rank === wanted.rank;
    if (isLoaded) return;
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
