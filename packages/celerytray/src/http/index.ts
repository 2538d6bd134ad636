/** HTTP clients and servers over Node's `http`, as effects. */
export {
  HttpFailure,
  type HttpFailureReason,
  requestJson,
  type RequestJsonOptions,
} from "./request_json.ts";
export { ByteCollector } from "./byte_collector.ts";
export {
  closeConnection,
  type ConnectionEnd,
  findConnectionEnd,
  noteConnectionEnd,
} from "./close_connection.ts";
export { BackendPools } from "./backend_pools.ts";
export { PooledFetch, type PooledRequest } from "./pooled_fetch.ts";
export {
  isHopByHopHeader,
  selectRequestHeaders,
  selectResponseHeaders,
} from "./forward_headers.ts";
export { takeArrivals } from "./take_arrivals.ts";
export { yieldToEventLoop } from "./yield_to_event_loop.ts";
export { type ExchangeListener, watchExchange } from "./watch_exchange.ts";
export { hasDeclaredEnd } from "./watch_response_end.ts";
export { watchFraming } from "./watch_framing.ts";
export {
  type BodyMemory,
  BodyMemoryExceeded,
  BodyTooLarge,
  discardBody,
  discardRequest,
  readBody,
  type ReadBodyOptions,
} from "./read_body.ts";
export { type OrderedRequest, RequestOrder } from "./request_order.ts";
export {
  type AddressInUse,
  listen,
  ListenFailure,
  type ListenOptions,
  parseAddress,
} from "./listen.ts";
