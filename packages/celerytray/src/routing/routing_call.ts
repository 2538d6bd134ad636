import type { ChatCompletionRequest, ModelService } from "@celerytray/schema";
import { hashPrefixes } from "./hash_prefixes.ts";
import type { RoutingCall } from "./router.ts";

/** Context in which a completion is routed. */
export interface RoutingCallOptions {
  readonly availabilityZone: string;
  readonly service: ModelService;
}

/** Derives the routing properties of a completion request. */
export function createRoutingCall(
  request: ChatCompletionRequest,
  options: RoutingCallOptions,
): RoutingCall {
  const { availabilityZone, service } = options;
  const { priority, prompt, messages } = request;
  const adapter = findAdapter(request);
  const deadlineMs = request.deadline_ms ?? service.firstTokenDeadlineMs;
  const { modelVersion } = service;
  return {
    availabilityZone,
    prefixHashes: hashPrefixes(prompt ?? JSON.stringify(messages ?? []), {
      scope: `${request.model}@${modelVersion ?? ""}`,
    }),
    ...(priority === undefined ? {} : { priority }),
    ...(adapter === undefined ? {} : { adapter }),
    ...(modelVersion === undefined ? {} : { modelVersion }),
    ...(deadlineMs === undefined ? {} : { firstTokenDeadlineMs: deadlineMs }),
  };
}

/** Callers specify the model as SERVICE or SERVICE:ADAPTER. */
function findAdapter(request: ChatCompletionRequest): string | undefined {
  const separator = request.model.indexOf(":");
  return separator < 0 ? undefined : request.model.slice(separator + 1);
}
