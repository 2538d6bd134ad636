/**
 * Leader election and status exchange between the processes of a deployment.
 */
export { Coordinator } from "./coordinator.ts";
export type {
  ControllerStart,
  CoordinatorOptions,
} from "./coordinator_options.ts";
export type { RelayedTopic } from "./relayed_topic.ts";
export { type LossSources, ReportedLosses } from "./reported_losses.ts";
export {
  LEADER_READ_WAIT_MS,
  maxConfigReadAgeMs,
  maxRelayedAgeMs,
  minConfigReadAgeMs,
  totalsLagMs,
} from "./intervals.ts";
export {
  claimLeadership,
  FencedReplicaRecorder,
  type FleetRecords,
  type LeadershipClaim,
  readFleetRecords,
} from "./leader_log.ts";
export { LEADER_GENERATION, type LeadingProcess } from "./leading_process.ts";
export type { PeerNode, PeerReport, ReportReply } from "./peer_messages.ts";
export {
  type CoordinationOperations,
  createPeerHandler,
  type PeerCalls,
  PeerClient,
  PeerUnresponsive,
} from "./peer_router.ts";
