import type { ServingConfig } from "../serving/index.ts";

/** The timeout of an earlier configuration, which requests may still have. */
interface EarlierTimeout {
  readonly service: string;
  readonly timeoutMs: number;
  /** Time at which the last of these requests ends. */
  readonly endsAtMs: number;
}

/**
 * The longest time for which requests to each service may run. A request keeps
 * the timeout of the configuration under which it was admitted.
 */
export class LongestCalls {
  #timeoutsMs: ReadonlyMap<string, number> = new Map();
  #earlier: readonly EarlierTimeout[] = [];

  /** Notes a configuration that is in force from now on. */
  noteConfig({ routes }: Pick<ServingConfig, "routes">, nowMs: number): void {
    const replaced = [...this.#timeoutsMs].map(([service, timeoutMs]) => ({
      service,
      timeoutMs,
      endsAtMs: nowMs + timeoutMs,
    }));
    this.#timeoutsMs = findLongest(routes);
    this.#earlier = [...this.#earlier, ...replaced].filter((
      { service, timeoutMs, endsAtMs },
    ) => endsAtMs > nowMs && timeoutMs > (this.#timeoutsMs.get(service) ?? 0));
  }

  /** Returns 0 for a service without a route. */
  findMs(service: string, nowMs: number): number {
    const earlierMs = this.#earlier
      .filter((earlier) =>
        earlier.service === service && earlier.endsAtMs > nowMs
      )
      .map(({ timeoutMs }) => timeoutMs);
    return Math.max(this.#timeoutsMs.get(service) ?? 0, ...earlierMs);
  }
}

function findLongest(
  routes: ServingConfig["routes"],
): ReadonlyMap<string, number> {
  const longest = new Map<string, number>();
  for (const { targets, timeoutMs } of routes) {
    for (const { service } of targets) {
      longest.set(service, Math.max(longest.get(service) ?? 0, timeoutMs));
    }
  }
  return longest;
}
