import { hashText } from "../routing/hash_text.ts";
import type {
  ServingConfig,
  ServingRoute,
  ServingTenant,
} from "./serving_config.ts";

/** A configuration with indexes for the look-ups of each request. */
export class ServingIndex {
  readonly config: ServingConfig;
  readonly #routesByHost = new Map<string, ServingRoute[]>();
  readonly #tenantsByKey = new Map<string, ServingTenant>();

  constructor(config: ServingConfig) {
    this.config = config;
    for (const route of config.routes) {
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const tenant of config.tenants ?? []) {
      for (const key of tenant.keys) this.#tenantsByKey.set(key, tenant);
    }
  }

  /** Returns the host's route with the longest matching path prefix. */
  findRoute(host: string, path: string): ServingRoute | undefined {
    return this.#routesByHost.get(host)?.find((route) =>
      path.startsWith(route.pathPrefix)
    );
  }

  findTenant(key: string): ServingTenant | undefined {
    return this.#tenantsByKey.get(key);
  }
}

/** Selects the service of a call by the weights of its route and the call id. */
export function selectService(route: ServingRoute, callId: string): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let point = (hashText(callId) / 2 ** 32) * total;
  for (const { service, weight } of route.targets) {
    point -= weight;
    if (point < 0) return service;
  }
  return route.targets.find(({ weight }) => weight > 0)?.service ??
    route.targets[0]!.service;
}
