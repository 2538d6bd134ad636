import type { AttemptsResult, AttemptsSummary } from "./attempt_progress.ts";
import type { CallHeaders } from "./call.ts";
import type {
  AdmittedCall,
  CallRecord,
  ServingDependencies,
} from "./call_context.ts";

export function describeResult(
  result: AttemptsResult,
): Pick<CallRecord, "status" | "outcome" | "reason" | "cause"> {
  return {
    status: result.kind === "answered"
      ? result.headers.status
      : result.kind === "streamed"
      ? 200
      : result.response.status,
    outcome: result.kind === "given-up"
      ? result.hasStarted
        ? "broken-off"
        : result.response.status === 503
        ? "refused"
        : "failed"
      : result.kind,
    ...(result.kind === "given-up"
      ? { reason: result.response.message, cause: result.cause }
      : {}),
  };
}

/** The fields of the record of a call without a whole answer. */
export function describeUnfinished(
  { deadlineAtMs }: AdmittedCall,
  hasBegun: boolean,
  nowMs: number,
): Pick<CallRecord, "hasBegun" | "remainingMs"> {
  return { hasBegun, remainingMs: deadlineAtMs - nowMs };
}

/** The fields of a call's record about its prompt. */
export function describePrompt(
  { promptTokens, promptParts }: Partial<CallHeaders> = {},
): Pick<CallRecord, "promptTokens" | "promptParts"> {
  return {
    ...(promptTokens === undefined ? {} : { promptTokens }),
    ...(promptParts === undefined
      ? {}
      : { promptParts: promptParts.slice(0, -1) }),
  };
}

/** The fields of a call's record that don't depend on its outcome. */
export function describeAttempts(
  call: AdmittedCall,
  { dependencies, summary, endedAtMs }: {
    readonly dependencies: ServingDependencies;
    readonly summary: AttemptsSummary;
    readonly endedAtMs: number;
  },
): Omit<CallRecord, "status" | "outcome" | "reason"> {
  const { headers, route, service, arrivedAtMs, configVersion } = call;
  const { attempts, firstByteAtMs, longestPauseMs, awaited } = summary;
  const admission = dependencies.admission.describe(call, endedAtMs);
  return {
    callId: headers.id,
    route: route.name,
    service,
    ...(headers.model === undefined ? {} : { model: headers.model }),
    attempts,
    durationMs: endedAtMs - arrivedAtMs,
    ...(firstByteAtMs === undefined
      ? {}
      : { firstByteMs: firstByteAtMs - arrivedAtMs }),
    ...(longestPauseMs === undefined ? {} : { longestPauseMs }),
    ...(awaited === undefined ? {} : { awaited }),
    ...describePrompt(headers),
    configVersion,
    ...(admission === undefined ? {} : { admission }),
  };
}
