import type { ServingConfig } from "./serving_config.ts";

interface HomeRestricted {
  readonly homes?: readonly string[];
}

/** Returns the home regions that a route and an organisation both allow; undefined for all. */
export function intersectHomes(
  route: HomeRestricted,
  tenant: HomeRestricted | undefined,
): readonly string[] | undefined {
  const tenantHomes = tenant?.homes;
  if (route.homes === undefined || tenantHomes === undefined) {
    return route.homes ?? tenantHomes;
  }
  return route.homes.filter((region) => tenantHomes.includes(region));
}

/** Home regions of a configuration that exclude every zone. */
export interface HomeProblems {
  /** Regions that no zone has. */
  readonly unknownRegions: readonly string[];
  /** Routes and organisations without any known region; all requests are refused. */
  readonly refused: readonly string[];
}

/** Limit on the reported names of each kind. */
const MAX_REPORTED_NAMES = 16;

/** Finds problems with a configuration's home regions; undefined if there are none. */
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
    unknownRegions: [...unknownRegions].slice(0, MAX_REPORTED_NAMES),
    refused: refused.slice(0, MAX_REPORTED_NAMES),
  };
}
