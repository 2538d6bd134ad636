import type { InstanceState } from "./instance_state.ts";

/** Time without a new instance after which a domain counts as filled. */
const GATHER_MS = 1_200;
/** Longest time for which weights count as being put on a host. */
const STAGING_MS = 20_000;

/** Longest time for which an instance counts as loading weights as a spare. */
const PREPARING_MS = 40_000;

interface Preparation {
  readonly model: string;
  readonly sinceMs: number;
}

/** Which weights instances have or load, and where instances still arrive. */
export class InstanceWeights {
  /** Model whose weights an instance had last in this incarnation. */
  readonly #lastModels = new Map<string, string>();
  /** Model that a spare is joining with. */
  readonly #preparing = new Map<string, Preparation>();
  /** Time at which an instance began to put weights on its host. */
  readonly #stagingSinceMs = new Map<string, number>();
  /** Incarnations that were seen, by instance. */
  readonly #seenIncarnations = new Map<string, string>();
  /** Time of the last arrival, by domain. */
  readonly #arrivedAtMs = new Map<string, number>();

  /** Whether the instances of the first list have long been there. */
  #startsFilled: boolean;

  constructor(options: { readonly startsFilled: boolean }) {
    this.#startsFilled = options.startsFilled;
  }

  /** Takes note of what the list says. */
  noteList(instances: readonly InstanceState[], nowMs: number): void {
    for (const instance of instances) {
      const { id, domain, bornAtMs, loadedModel, membership } = instance;
      if (domain === undefined) continue;
      const incarnation = `${id} ${bornAtMs ?? ""}`;
      if (this.#seenIncarnations.get(id) === incarnation) {
        if (membership?.state === "joining") continue;
        if (loadedModel !== undefined) this.#lastModels.set(id, loadedModel);
        if (loadedModel !== undefined || this.isOverdue(id, nowMs)) {
          this.#preparing.delete(id);
        }
        continue;
      }
      if (this.#seenIncarnations.has(id)) this.#lastModels.delete(id);
      this.#preparing.delete(id);
      this.#seenIncarnations.set(id, incarnation);
      // A new lead finds instances that have had weights for long.
      const isLoaded = loadedModel !== undefined &&
        membership?.state !== "joining";
      if (isLoaded) this.#lastModels.set(id, loadedModel);
      if (!this.#startsFilled) this.#arrivedAtMs.set(domain, nowMs);
    }
    this.#startsFilled = false;
  }

  /** Model whose weights an instance has in memory, or had last. */
  hotModel(instanceId: string): string | undefined {
    return this.#lastModels.get(instanceId);
  }

  /** Model that a spare is loading. */
  preparedModel(instanceId: string): string | undefined {
    return this.#preparing.get(instanceId)?.model;
  }

  /** Whether a spare has been loading for too long to wait for it. */
  isOverdue(instanceId: string, nowMs: number): boolean {
    const preparation = this.#preparing.get(instanceId);
    return preparation !== undefined &&
      nowMs - preparation.sinceMs >= PREPARING_MS;
  }

  /** Takes note of a join: with a model as a spare, or in a replica. */
  noteJoin(
    instanceId: string,
    { preparedModel, nowMs }: {
      readonly preparedModel: string | undefined;
      readonly nowMs: number;
    },
  ): void {
    const known = this.#preparing.get(instanceId);
    if (preparedModel === undefined) this.#preparing.delete(instanceId);
    else if (known?.model !== preparedModel) {
      this.#preparing.set(instanceId, { model: preparedModel, sinceMs: nowMs });
    }
  }

  noteStaging(instanceId: string, nowMs: number): void {
    this.#stagingSinceMs.set(instanceId, nowMs);
  }

  /** Whether an instance was ever told to put weights on its host. */
  wasStaged(instanceId: string): boolean {
    return this.#stagingSinceMs.has(instanceId);
  }

  /** Instances that still put weights on their hosts. */
  countStaging(
    find: (id: string) => InstanceState | undefined,
    nowMs: number,
  ): number {
    return [...this.#stagingSinceMs].filter(([id, sinceMs]) => {
      const staged = find(id)?.stagedModels ?? [];
      const hasOther = staged.some((model) => model !== this.hotModel(id));
      return nowMs - sinceMs < STAGING_MS && !hasOther;
    }).length;
  }

  /** Whether no more instances are about to arrive in a domain. */
  isFilled(domain: string, nowMs: number): boolean {
    return nowMs - (this.#arrivedAtMs.get(domain) ?? -GATHER_MS) >= GATHER_MS;
  }
}
