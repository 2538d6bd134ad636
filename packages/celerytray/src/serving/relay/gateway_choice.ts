import type { BackendLinks } from "./backend_links.ts";
import type { Gateway } from "./gateway.ts";

/** Dependencies of the choice of gateways. */
export interface GatewayChoiceOptions {
  /** Other processes that may serve requests of this one. */
  readonly gateways: () => readonly Gateway[];
  readonly links: Pick<BackendLinks, "ownShare">;
  /** Availability zone of this process. */
  readonly zone: string;
  /** Region of each availability zone. */
  readonly zoneRegions: ReadonlyMap<string, string>;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/** A request that may have to be served through another process. */
export interface RelayableCall {
  readonly service: string;
  /** Regions whose instances may serve it; undefined for all. */
  readonly homes?: readonly string[];
}

/** Cost of another zone, in requests in progress. */
const OTHER_ZONE_COST = 2;

/** Cost of a gateway that refused lately, which goes last. */
const AVOIDED_COST = 1_000_000;

/** Chooses the processes that serve the requests of lost links. */
export class GatewayChoice {
  readonly #options: GatewayChoiceOptions;
  /** Requests in progress at each gateway. */
  readonly #inProgress = new Map<string, number>();
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(options: GatewayChoiceOptions) {
    this.#options = options;
  }

  /**
   * Chooses the gateway with the fewest requests of this process; undefined if
   * the request is to use this process's own links, or no gateway may serve it.
   */
  choose(
    call: RelayableCall,
    { triedIds, nowMs }: {
      readonly triedIds: ReadonlySet<string>;
      readonly nowMs: number;
    },
  ): Gateway | undefined {
    const { gateways, links, zone, random } = this.#options;
    const ownShare = links.ownShare(call.service, nowMs);
    if (ownShare >= 1 || random() < ownShare) return undefined;
    let best: Gateway | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const gateway of gateways()) {
      if (!this.#mayServe(gateway, call)) continue;
      const { nodeId } = gateway;
      if (triedIds.has(nodeId)) continue;
      const isAvoided = (this.#avoidedUntilMs.get(nodeId) ?? nowMs) > nowMs;
      const cost = (this.#inProgress.get(nodeId) ?? 0) + random() +
        (gateway.zone === zone ? 0 : OTHER_ZONE_COST) +
        (isAvoided ? AVOIDED_COST : 0);
      if (cost >= bestCost) continue;
      best = gateway;
      bestCost = cost;
    }
    return best;
  }

  /** Whether a gateway no longer takes part, though others are known. */
  isGone({ nodeId }: Gateway): boolean {
    const gateways = this.#options.gateways();
    return gateways.length > 0 &&
      !gateways.some((gateway) => gateway.nodeId === nodeId);
  }

  noteSent({ nodeId }: Gateway): void {
    this.#inProgress.set(nodeId, (this.#inProgress.get(nodeId) ?? 0) + 1);
  }

  noteEnded({ nodeId }: Gateway): void {
    const rest = (this.#inProgress.get(nodeId) ?? 1) - 1;
    if (rest > 0) this.#inProgress.set(nodeId, rest);
    else this.#inProgress.delete(nodeId);
  }

  /** Puts a gateway that can't be reached, or can't serve, behind all others. */
  avoidUntil({ nodeId }: Gateway, atMs: number): void {
    this.#avoidedUntilMs.set(nodeId, atMs);
  }

  /** A body must not reach a process outside its regions. */
  #mayServe(
    { zone, lostServices }: Gateway,
    { service, homes }: RelayableCall,
  ): boolean {
    if (lostServices.includes(service)) return false;
    if (homes === undefined) return true;
    const region = this.#options.zoneRegions.get(zone);
    return region !== undefined && homes.includes(region);
  }
}
