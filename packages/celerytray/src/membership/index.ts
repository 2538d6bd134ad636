/** Membership of entry instances: failure detection, exchanges, preferences. */
export { selectPreferred } from "./select_preferred.ts";
export {
  type Member,
  MemberTable,
  type MemberTableOptions,
} from "./member_table.ts";
export { type MemberState, type MemberUpdate } from "./member_update.ts";
export {
  type DemandReport,
  DemandTable,
  type DemandTableOptions,
  type PeerDemand,
} from "./peer_demand.ts";
export {
  IsolationMonitor,
  type IsolationMonitorOptions,
  type LogReadTime,
} from "./isolation_monitor.ts";
export {
  type ExchangeAnswer,
  type ExchangeMessage,
  type LeavingReport,
  parseExchangeMessage,
} from "./exchange.ts";
export { LeavingTable } from "./leaving_table.ts";
export { Membership } from "./membership.ts";
export type {
  ExchangedConfig,
  MembershipOptions,
  PeerFailure,
  PeerTransport,
} from "./membership_ports.ts";
