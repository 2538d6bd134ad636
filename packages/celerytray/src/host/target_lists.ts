import type { InstanceListView, InstanceState } from "../groups/index.ts";
import type {
  ExclusionReason,
  ServedService,
  ServingTarget,
} from "../serving/index.ts";
import type { EvacuationView } from "./evacuation_view.ts";

/** Options of the lists of instances that take requests. */
export interface TargetListsOptions {
  readonly instances: InstanceListView;
  readonly closedHeads: () => readonly string[];
  /** The services of the configuration in force. */
  readonly services: () => ReadonlyMap<string, ServedService> | undefined;
  readonly evacuations: Pick<EvacuationView, "revision" | "isEvacuated">;
  /** Region of each availability zone. */
  readonly zoneRegions: ReadonlyMap<string, string>;
}

/** Instances that take requests, by service and model. */
export class TargetLists {
  readonly #options: TargetListsOptions;
  #builtFrom: readonly unknown[] = [];
  #lists = new Map<string, ServingTarget[]>();
  /** Parts of those lists, by the regions that a request may reach. */
  readonly #homeLists = new Map<string, readonly ServingTarget[]>();
  /** Zones in which a service has instances, evacuated ones included. */
  #zones = new Map<string, Set<string>>();

  constructor(options: TargetListsOptions) {
    this.#options = options;
  }

  /** Targets in the given regions, or in all of them. */
  list(
    service: string,
    model: string | undefined,
    homes?: readonly string[],
  ): readonly ServingTarget[] {
    this.#refresh();
    const key = createKey(service, model);
    const targets = this.#lists.get(key) ?? [];
    if (homes === undefined) return targets;
    const homeKey = JSON.stringify([key, ...homes]);
    let homeList = this.#homeLists.get(homeKey);
    if (homeList === undefined) {
      homeList = targets.filter(({ zone }) => this.#isHome(zone, homes));
      this.#homeLists.set(homeKey, homeList);
    }
    return homeList;
  }

  /** Why no instance of a service may get a request; undefined if one may. */
  findBar(
    service: string,
    homes?: readonly string[],
  ): ExclusionReason | undefined {
    const { instances, evacuations } = this.#options;
    if (!instances.isLoaded) return undefined;
    this.#refresh();
    const zones = [...this.#zones.get(service) ?? []];
    const allowed = homes === undefined
      ? zones
      : zones.filter((zone) => this.#isHome(zone, homes));
    if (homes !== undefined && allowed.length === 0) return "not-at-home";
    const isAllEvacuated = allowed.length > 0 &&
      allowed.every((zone) => evacuations.isEvacuated(zone));
    return isAllEvacuated ? "evacuated" : undefined;
  }

  /** A zone that the settings don't know is in no region. */
  #isHome(zone: string, homes: readonly string[]): boolean {
    const region = this.#options.zoneRegions.get(zone);
    return region !== undefined && homes.includes(region);
  }

  #refresh(): void {
    const { instances, evacuations } = this.#options;
    const closedHeads = this.#options.closedHeads();
    const services = this.#options.services();
    const builtFrom = [
      instances.revision,
      evacuations.revision,
      services,
      closedHeads.join(),
    ];
    const isSame = builtFrom.every((part, index) =>
      part === this.#builtFrom[index]
    );
    if (isSame) return;
    this.#builtFrom = builtFrom;
    this.#homeLists.clear();
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

/** Plain instances serve; model instances as the head of an open replica. */
function isServing(instance: InstanceState): boolean {
  if (instance.domain === undefined) return true;
  return instance.membership?.rank === 0 &&
    instance.membership.state === "open";
}

function createKey(service: string, model: string | undefined): string {
  return model === undefined ? service : `${service} ${model}`;
}
