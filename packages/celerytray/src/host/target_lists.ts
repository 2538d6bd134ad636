import type { InstanceListView, InstanceState } from "../groups/index.ts";
import type {
  ExclusionReason,
  ServedService,
  ServingTarget,
} from "../serving/index.ts";
import type { EvacuationView } from "./evacuation_view.ts";

/** Options of the target lists. */
export interface TargetListsOptions {
  readonly instances: InstanceListView;
  readonly closedHeads: () => readonly string[];
  /** The services of the configuration in force. */
  readonly services: () => ReadonlyMap<string, ServedService> | undefined;
  readonly evacuations: Pick<EvacuationView, "revision" | "isEvacuated">;
  /** Region of each availability zone. */
  readonly zoneRegions: ReadonlyMap<string, string>;
}

/** Lists the instances that accept requests, by service and model. */
export class TargetLists {
  readonly #options: TargetListsOptions;
  #sources: readonly unknown[] = [];
  #lists = new Map<string, ServingTarget[]>();
  /**
   * The lists restricted to allowed regions, by the regions and the list's key.
   */
  readonly #regionLists = new Map<string, readonly ServingTarget[]>();
  /** Zones in which a service has instances, evacuated ones included. */
  #zones = new Map<string, Set<string>>();

  constructor(options: TargetListsOptions) {
    this.#options = options;
  }

  /** Returns the targets in the given regions, or in all regions. */
  list(
    service: string,
    model: string | undefined,
    regions?: readonly string[],
  ): readonly ServingTarget[] {
    this.#refresh();
    const key = createKey(service, model);
    const targets = this.#lists.get(key) ?? [];
    if (regions === undefined) return targets;
    const regionKey = JSON.stringify([key, ...regions]);
    let regionList = this.#regionLists.get(regionKey);
    if (regionList === undefined) {
      regionList = targets.filter(({ zone }) =>
        this.#isInRegions(zone, regions)
      );
      this.#regionLists.set(regionKey, regionList);
    }
    return regionList;
  }

  /**
   * Returns why no instance of a service may get a request; undefined if one
   * may.
   */
  findExclusionReason(
    service: string,
    regions?: readonly string[],
  ): ExclusionReason | undefined {
    const { instances, evacuations } = this.#options;
    if (!instances.isLoaded) return undefined;
    this.#refresh();
    const zones = [...this.#zones.get(service) ?? []];
    const allowed = regions === undefined
      ? zones
      : zones.filter((zone) => this.#isInRegions(zone, regions));
    if (regions !== undefined && allowed.length === 0) return "not-at-home";
    const isAllEvacuated = allowed.length > 0 &&
      allowed.every((zone) => evacuations.isEvacuated(zone));
    return isAllEvacuated ? "evacuated" : undefined;
  }

  /** A zone that is missing in the settings belongs to no region. */
  #isInRegions(zone: string, regions: readonly string[]): boolean {
    const region = this.#options.zoneRegions.get(zone);
    return region !== undefined && regions.includes(region);
  }

  #refresh(): void {
    const { instances, evacuations } = this.#options;
    const closedHeads = this.#options.closedHeads();
    const services = this.#options.services();
    const sources = [
      instances.revision,
      evacuations.revision,
      services,
      closedHeads.join(),
    ];
    const isSame = sources.every((part, index) =>
      part === this.#sources[index]
    );
    if (isSame) return;
    this.#sources = sources;
    this.#regionLists.clear();
    this.#zones = new Map();
    this.#lists = this.#build(new Set(closedHeads), services);
  }

  #build(
    closedHeads: ReadonlySet<string>,
    services: ReadonlyMap<string, ServedService> | undefined,
  ): Map<string, ServingTarget[]> {
    const lists = new Map<string, ServingTarget[]>();
    for (const instance of this.#options.instances.list()) {
      if (instance.isDraining) continue;
      this.#noteZone(instance);
      if (this.#options.evacuations.isEvacuated(instance.zone)) continue;
      if (closedHeads.has(instance.id) || !isServing(instance)) continue;
      const model = instance.domain === undefined
        ? undefined
        : instance.loadedModel;
      const key = createKey(instance.service, model);
      const list = lists.get(key) ?? [];
      list.push(createTarget(instance, services?.get(instance.service)));
      lists.set(key, list);
    }
    return lists;
  }

  #noteZone({ service, zone }: InstanceState): void {
    const zones = this.#zones.get(service) ?? new Set();
    this.#zones.set(service, zones.add(zone));
  }
}

function createTarget(
  instance: InstanceState,
  service: ServedService | undefined,
): ServingTarget {
  const { bornAtMs } = instance;
  return {
    instanceId: instance.id,
    address: instance.address,
    zone: instance.zone,
    slots: service?.engine?.slots ?? instance.slots,
    epoch: instance.membership?.epoch ?? 0,
    ...(bornAtMs === undefined ? {} : { bornAtMs }),
    ...(service?.cold === undefined ? {} : { cold: service.cold }),
  };
}

/**
 * Plain instances accept requests. A model instance does so as the head of an
 * open replica.
 */
function isServing(instance: InstanceState): boolean {
  if (instance.domain === undefined) return true;
  return instance.membership?.rank === 0 &&
    instance.membership.state === "open";
}

function createKey(service: string, model: string | undefined): string {
  return model === undefined ? service : `${service} ${model}`;
}
