/** Selection of the replica that serves a request. */
export {
  type CallRouter,
  type ReplicaLoad,
  type Router,
  type RoutingCall,
  type RoutingOutcome,
  type RoutingRequest,
} from "./router.ts";
export {
  AffinityRouter,
  type AffinityRouterOptions,
} from "./affinity_router.ts";
export {
  LeastReportedRouter,
  PowerOfTwoRouter,
  RandomRouter,
  RoundRobinRouter,
} from "./baseline_routers.ts";

export { createRoutingCall, type RoutingCallOptions } from "./routing_call.ts";

// Building blocks of the routers
export { hashPrefixes, type HashPrefixesOptions } from "./hash_prefixes.ts";
export {
  OutlierEjector,
  type OutlierEjectorOptions,
} from "./outlier_ejector.ts";
export {
  type CacheEvent,
  type PrefixHolder,
  PrefixIndex,
  type PrefixIndexOptions,
  type PrefixTrust,
} from "./prefix_index.ts";
export { SentLog } from "./sent_log.ts";
