/** Which process decides on replicas, and what the others tell it. */
export { Coordinator } from "./coordinator.ts";
export type {
  CoordinatorOptions,
  DirectorStart,
} from "./coordinator_options.ts";
export type { RelayedTopic } from "./relayed_topic.ts";
export { LEAD_READ_WAIT_MS, maxToldAgeMs, sumLagMs } from "./intervals.ts";
export {
  claimLead,
  type FleetRecords,
  type LeadClaim,
  LeadRecorder,
  readFleetRecords,
} from "./lead_log.ts";
export type { LeadAnswer, PeerNode, PeerReport } from "./peer_messages.ts";
export {
  createPeerHandler,
  type LeadOperations,
  type PeerCalls,
  PeerClient,
  PeerUnresponsive,
} from "./peer_router.ts";
