import type { InstanceListView, InstanceState } from "../groups/index.ts";
import type { ServingTarget } from "../serving/index.ts";

/** Options of the lists of instances that take requests. */
export interface TargetListsOptions {
  readonly instances: InstanceListView;
  readonly closedHeads: () => readonly string[];
  /** Requests that a replica of a service runs at once. */
  readonly slotsOf: (service: string) => number | undefined;
}

/** Instances that take requests, by service and model. */
export class TargetLists {
  readonly #options: TargetListsOptions;
  #revision = -1;
  #closedHeads: readonly string[] = [];
  #lists = new Map<string, ServingTarget[]>();

  constructor(options: TargetListsOptions) {
    this.#options = options;
  }

  list(service: string, model: string | undefined): readonly ServingTarget[] {
    const { instances } = this.#options;
    const closedHeads = this.#options.closedHeads();
    const isChanged = instances.revision !== this.#revision ||
      closedHeads.join() !== this.#closedHeads.join();
    if (isChanged) {
      this.#revision = instances.revision;
      this.#closedHeads = closedHeads;
      this.#lists = this.#build(new Set(closedHeads));
    }
    return this.#lists.get(createKey(service, model)) ?? [];
  }

  #build(closedHeads: ReadonlySet<string>): Map<string, ServingTarget[]> {
    const lists = new Map<string, ServingTarget[]>();
    for (const instance of this.#options.instances.list()) {
      if (instance.isDraining || closedHeads.has(instance.id)) continue;
      if (!isServing(instance)) continue;
      const model = instance.domain === undefined
        ? undefined
        : instance.loadedModel;
      const key = createKey(instance.service, model);
      const list = lists.get(key) ?? [];
      list.push({
        instanceId: instance.id,
        address: instance.address,
        zone: instance.zone,
        slots: this.#options.slotsOf(instance.service) ?? instance.slots,
        epoch: instance.membership?.epoch ?? 0,
        ...(instance.bornAtMs === undefined
          ? {}
          : { bornAtMs: instance.bornAtMs }),
      });
      lists.set(key, list);
    }
    return lists;
  }
}

/** Plain instances serve; model instances as the head of an open replica. */
function isServing(instance: InstanceState): boolean {
  if (instance.domain === undefined) return true;
  return instance.membership?.rank === 0 &&
    instance.membership.state === "open";
}

function createKey(service: string, model: string | undefined): string {
  return model === undefined ? service : `${service} ${model}`;
}
