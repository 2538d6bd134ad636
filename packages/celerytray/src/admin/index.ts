/** Administration over trpc. */
export {
  type AdminHandlerOptions,
  type AdminRouter,
  createAdminHandler,
} from "./admin_handler.ts";
export type {
  AdminOperations,
  ConfigDescription,
  ConfigVersionDescription,
  EntryStatus,
  EntryVersion,
  MergedTimeline,
  ReplicaDescription,
} from "./admin_operations.ts";
export { type AdminClient, createAdminClient } from "./admin_client.ts";

// Calls between entry instances
export { type PeerOperations } from "./peer_router.ts";
export { probePeer, TrpcPeerTransport } from "./trpc_peer_transport.ts";
