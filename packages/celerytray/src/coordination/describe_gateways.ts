import type { Gateway } from "../serving/index.ts";
import type { InstanceUpdates, LostLinks, PeerNode } from "./peer_messages.ts";

/** Processes that are named as gateways at most. */
const MAX_GATEWAYS = 32;

/** Inputs of the choice of gateways. */
export interface GatewaysInput {
  /** Processes that the leader knows. */
  readonly nodes: readonly PeerNode[];
  readonly lostLinks: readonly LostLinks[];
  /** Those that a predecessor named, which hold if there are any. */
  readonly previous?: readonly Gateway[];
}

/**
 * Names the processes that may serve requests of those whose links are lost:
 * none while all links are sound.
 */
export function describeGateways(
  { nodes, lostLinks, previous = [] }: GatewaysInput,
): Pick<InstanceUpdates, "gateways"> {
  const lostServices = new Map(
    lostLinks.map(({ nodeId, services }) => [nodeId, services]),
  );
  if (previous.length > 0) {
    return {
      gateways: previous.map((gateway) => ({
        ...gateway,
        lostServices: lostServices.get(gateway.nodeId) ?? gateway.lostServices,
      })),
    };
  }
  if (lostLinks.length === 0) return {};
  const able = nodes.filter(({ servesOthers }) => servesOthers === true);
  const byId = new Map(
    able.map(({ nodeId, peerAddress, zone }): [string, Gateway] => [nodeId, {
      nodeId,
      peerAddress,
      zone,
      lostServices: lostServices.get(nodeId) ?? [],
    }]),
  );
  const gateways = [...byId.values()].sort((one, other) =>
    one.lostServices.length - other.lostServices.length ||
    (one.nodeId < other.nodeId ? -1 : 1)
  );
  return { gateways: spreadOverZones(gateways).slice(0, MAX_GATEWAYS) };
}

/** Takes the first of each zone, then the second, and so on. */
function spreadOverZones(gateways: readonly Gateway[]): readonly Gateway[] {
  const ranks = new Map<string, number>();
  const ranked = gateways.map((gateway) => {
    const rank = ranks.get(gateway.zone) ?? 0;
    ranks.set(gateway.zone, rank + 1);
    return { gateway, rank };
  });
  return ranked.sort((one, other) => one.rank - other.rank)
    .map(({ gateway }) => gateway);
}
