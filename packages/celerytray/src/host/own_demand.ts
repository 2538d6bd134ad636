import type { DemandSource } from "../serving/index.ts";

/** Counts the requests of this process that are in progress or waiting. */
export class OwnDemand {
  readonly #byModel = new Map<string, number>();
  readonly #byTenant = new Map<string, number>();
  #hasTraffic = false;

  /** Whether any request has arrived. */
  get hasTraffic(): boolean {
    return this.#hasTraffic;
  }

  get byModel(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#byModel);
  }

  get byTenant(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#byTenant);
  }

  /** Counts a request that arrived (1) or ended (-1). */
  note({ model, tenant }: DemandSource, change: 1 | -1): void {
    this.#hasTraffic = true;
    addTo(this.#byModel, model, change);
    if (tenant !== undefined) addTo(this.#byTenant, tenant, change);
  }
}

function addTo(
  demand: Map<string, number>,
  name: string,
  change: 1 | -1,
): void {
  const requests = (demand.get(name) ?? 0) + change;
  if (requests === 0) demand.delete(name);
  else demand.set(name, requests);
}
