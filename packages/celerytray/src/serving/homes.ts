import type { ServingConfig } from "./serving_config.ts";

interface WithHomes {
  readonly homes?: readonly string[];
}

/** Regions that a route and its organisation both allow; undefined for all. */
export function intersectHomes(
  route: WithHomes,
  tenant: WithHomes | undefined,
): readonly string[] | undefined {
  const tenantHomes = tenant?.homes;
  if (route.homes === undefined || tenantHomes === undefined) {
    return route.homes ?? tenantHomes;
  }
  return route.homes.filter((region) => tenantHomes.includes(region));
}

/** Home regions of a configuration that allow nothing. */
export interface HomeProblems {
  /** Regions that no zone has. */
  readonly unknownRegions: readonly string[];
  /** Routes and organisations whose requests are all refused. */
  readonly refused: readonly string[];
}

/** Names that are told at most, of each kind. */
const MAX_TOLD = 16;

/** Finds what the home regions of a configuration rule out; undefined if nothing. */
export function findHomeProblems(
  { routes, tenants }: Pick<ServingConfig, "routes" | "tenants">,
  zoneRegions: ReadonlyMap<string, string>,
): HomeProblems | undefined {
  const known = new Set(zoneRegions.values());
  const owners = [...routes, ...tenants ?? []];
  const unknownRegions = new Set<string>();
  const refused: string[] = [];
  for (const { name, homes } of owners) {
    if (homes === undefined) continue;
    const unknown = homes.filter((region) => !known.has(region));
    for (const region of unknown) unknownRegions.add(region);
    if (unknown.length === homes.length) refused.push(name);
  }
  if (unknownRegions.size + refused.length === 0) return undefined;
  return {
    unknownRegions: [...unknownRegions].slice(0, MAX_TOLD),
    refused: refused.slice(0, MAX_TOLD),
  };
}
