/** Choice of the replica that serves a request. */
export {
  PowerOfTwoRouter,
  type ReplicaLoad,
  type Router,
  type RoutingRequest,
} from "./router.ts";
