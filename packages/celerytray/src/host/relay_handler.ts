import type { RequestListener } from "node:http";
import type { CallCodec } from "../serving/index.ts";

/** Handlers of the requests at the address for other processes. */
export interface RelayHandlers {
  readonly codec: Pick<CallCodec, "decodeRelay">;
  /** Callers' requests that another process can't serve itself. */
  readonly calls: RequestListener;
  /** All other requests. */
  readonly others: RequestListener;
}

/** Tells callers' requests that are relayed here from the processes' own. */
export function createRelayHandler(
  { codec, calls, others }: RelayHandlers,
): RequestListener {
  return (request, response) => {
    const isRelayed = codec.decodeRelay(request) !== undefined;
    return isRelayed ? calls(request, response) : others(request, response);
  };
}
