import type { Preparation } from "./divide_pool.ts";
import type { InstanceState } from "./instance_state.ts";

/** Time without a new instance after which a domain counts as complete. */
const ARRIVAL_QUIET_MS = 1_200;
/** Maximum time for which weights count as being staged on a host. */
const STAGING_TIMEOUT_MS = 20_000;
/** Maximum time for which an instance counts as loading weights as a spare. */
const PREPARATION_TIMEOUT_MS = 40_000;

interface PreparationStart {
  readonly model: string;
  readonly sinceMs: number;
}

/**
 * Tracks which weights instances have in memory, load or stage, and in which
 * fabric domains new instances still arrive.
 */
export class InstanceWeights {
  /** Last model whose weights an instance had in this incarnation. */
  readonly #lastModels = new Map<string, string>();
  /** Model that a spare is loading, with the time of its first join order. */
  readonly #preparations = new Map<string, PreparationStart>();
  /** Time at which an instance was ordered to stage weights on its host. */
  readonly #stagingSinceMs = new Map<string, number>();
  /** Last seen incarnation of each instance. */
  readonly #seenIncarnations = new Map<string, string>();
  /** Time of the last arrival of an instance, by fabric domain. */
  readonly #arrivedAtMs = new Map<string, number>();
  /** Whether the first list holds instances that arrived long ago. */
  #startsComplete: boolean;

  constructor(options: { readonly startsComplete: boolean }) {
    this.#startsComplete = options.startsComplete;
  }

  /** Updates the state from the instance list. */
  noteList(instances: readonly InstanceState[], nowMs: number): void {
    for (const instance of instances) {
      const { id, domain, bornAtMs, loadedModel, membership } = instance;
      if (domain === undefined) continue;
      const incarnation = `${id} ${bornAtMs ?? ""}`;
      if (this.#seenIncarnations.get(id) === incarnation) {
        if (membership?.state === "joining") continue;
        if (loadedModel !== undefined) this.#lastModels.set(id, loadedModel);
        if (loadedModel !== undefined || this.isPreparationOverdue(id, nowMs)) {
          this.#preparations.delete(id);
        }
        continue;
      }
      if (this.#seenIncarnations.has(id)) this.#lastModels.delete(id);
      this.#preparations.delete(id);
      this.#seenIncarnations.set(id, incarnation);
      // A new leader finds instances that loaded their weights before.
      const isLoaded = loadedModel !== undefined &&
        membership?.state !== "joining";
      if (isLoaded) this.#lastModels.set(id, loadedModel);
      if (!this.#startsComplete) this.#arrivedAtMs.set(domain, nowMs);
    }
    this.#startsComplete = false;
  }

  /** Model whose weights an instance has in memory or had last. */
  heldModel(instanceId: string): string | undefined {
    return this.#lastModels.get(instanceId);
  }

  /** Model that a spare is loading. */
  preparingModel(instanceId: string): string | undefined {
    return this.#preparations.get(instanceId)?.model;
  }

  /** The load that a spare has begun. */
  findPreparation(instanceId: string, nowMs: number): Preparation | undefined {
    const start = this.#preparations.get(instanceId);
    if (start === undefined) return undefined;
    return { model: start.model, elapsedMs: nowMs - start.sinceMs };
  }

  /** Whether a spare has been loading for longer than its timeout. */
  isPreparationOverdue(instanceId: string, nowMs: number): boolean {
    const preparation = this.#preparations.get(instanceId);
    return preparation !== undefined &&
      nowMs - preparation.sinceMs >= PREPARATION_TIMEOUT_MS;
  }

  /** Notes that an instance joins: as a spare with a model, or in a replica. */
  noteJoin(
    instanceId: string,
    { preparingModel, nowMs }: {
      readonly preparingModel: string | undefined;
      readonly nowMs: number;
    },
  ): void {
    const known = this.#preparations.get(instanceId);
    if (preparingModel === undefined) this.#preparations.delete(instanceId);
    else if (known?.model !== preparingModel) {
      this.#preparations.set(instanceId, {
        model: preparingModel,
        sinceMs: nowMs,
      });
    }
  }

  noteStaging(instanceId: string, nowMs: number): void {
    this.#stagingSinceMs.set(instanceId, nowMs);
  }

  /** Whether an instance was ever ordered to stage weights on its host. */
  wasStaged(instanceId: string): boolean {
    return this.#stagingSinceMs.has(instanceId);
  }

  /** Counts the instances that are still staging weights. */
  countStaging(
    find: (id: string) => InstanceState | undefined,
    nowMs: number,
  ): number {
    return [...this.#stagingSinceMs].filter(([id, sinceMs]) => {
      const staged = find(id)?.stagedModels ?? [];
      const hasOther = staged.some((model) => model !== this.heldModel(id));
      return nowMs - sinceMs < STAGING_TIMEOUT_MS && !hasOther;
    }).length;
  }

  /** Whether no more instances are expected to arrive in a domain. */
  isDomainComplete(domain: string, nowMs: number): boolean {
    return nowMs - (this.#arrivedAtMs.get(domain) ?? -ARRIVAL_QUIET_MS) >=
      ARRIVAL_QUIET_MS;
  }
}
