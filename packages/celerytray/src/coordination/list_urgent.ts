import { EMPTY_REPORT } from "../serving/index.ts";
import type { PeerSummary } from "./peer_messages.ts";

/**
 * Items that the leader must learn at once: stalled heads, leaving instances,
 * what speaks for or against suspected parts of prompts, new limits, and
 * processes that lost their links.
 */
export function listUrgent(
  { stalledHeads, leaving, quarantine, limits, lostLinks }: PeerSummary,
): readonly string[] {
  const { crashes, safe, wanted } = quarantine ?? EMPTY_REPORT;
  return [
    ...crashes.map(({ part, incarnation }) => `${part} lost ${incarnation}`),
    ...safe.map(({ part }) => `${part} safe`),
    ...wanted.map(({ part }) => `${part} wanted`),
    ...stalledHeads,
    ...(limits?.sightings ?? []).map(({ incarnation, perSecond }) =>
      `${incarnation} takes ${perSecond}`
    ),
    ...leaving.map(({ instanceId }) => `${instanceId} leaving`),
    ...(lostLinks ?? []).map(({ nodeId, services }) =>
      `${nodeId} lost ${services.join()}`
    ),
  ];
}
