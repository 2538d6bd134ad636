import { type Either, Left, Right } from "purify-ts";
import type { CallHeaders } from "./call.ts";
import type { AdmittedCall, ServingDependencies } from "./call_context.ts";
import type { LocalResponse } from "./exchange/index.ts";
import { intersectHomes } from "./homes.ts";
import { refuseWhileBehind } from "./process_lag.ts";
import { refuseIfQuarantined } from "./quarantine/index.ts";
import { selectService, type ServingIndex } from "./serving_index.ts";

const NO_CONFIG_RETRY_AFTER_MS = 500;
/** Short, as other machines may know the newest configuration. */
const OUTDATED_RETRY_AFTER_MS = 50;
const MAX_PRIORITY = 9;
/** Time missing from a caller's usual timeout that indicates an earlier refusal. */
const MIN_REFUSED_ELAPSED_MS = 150;

/** A validated call whose body has not been read. */
export type TimedAdmission = Omit<
  AdmittedCall,
  "body" | "arrivedAtMs" | "isRelayed"
>;
type Admission = Omit<
  TimedAdmission,
  "targetAtMs" | "deadlineAtMs" | "isLate" | "wasRefused"
>;

/** Inputs of the validation of a call. */
export interface AdmissionOptions {
  readonly dependencies: ServingDependencies;
  readonly index: ServingIndex | undefined;
}

/** Finds a call's route and tenant, or the response that refuses it. */
export function admitCall(
  headers: CallHeaders,
  { dependencies, index }: AdmissionOptions,
): Either<LocalResponse, Admission> {
  if (index === undefined) {
    return Left({
      status: 503,
      message: "No configuration is known yet; the request was not run",
      retryAfterMs: NO_CONFIG_RETRY_AFTER_MS,
    });
  }
  const { config } = index;
  const areKeysFresh = dependencies.areKeysFresh();
  const isCurrent = areKeysFresh && dependencies.isConfigCurrent();
  const outdatedResponse: LocalResponse = {
    status: 503,
    message: "The configuration may be outdated; the request was not run",
    retryAfterMs: OUTDATED_RETRY_AFTER_MS,
    closesConnection: true,
  };
  const route = index.findRoute(headers.host, headers.path);
  if (route === undefined) {
    if (!isCurrent) return Left(outdatedResponse);
    return Left({ status: 404, message: "No route matches host and path" });
  }
  // Without its last event a stream would begin anew, with what its caller has.
  if (route.isStream && Number.isNaN(headers.lastEventId)) {
    return Left({
      status: 400,
      message: "The id of the last event must be a whole number",
    });
  }
  const admission: Admission = {
    headers,
    route,
    service: selectService(route, headers.id),
    priority: Math.min(MAX_PRIORITY, route.priority),
    configVersion: config.version,
    ...createHomes(intersectHomes(route, undefined)),
  };
  if (config.tenants === undefined || route.isPublic) return Right(admission);
  if (!areKeysFresh) return Left(outdatedResponse);
  const tenant = headers.key === undefined
    ? undefined
    : index.findTenant(headers.key);
  if (tenant === undefined && !isCurrent) return Left(outdatedResponse);
  if (tenant === undefined) {
    return Left({ status: 401, message: "The API key is unknown" });
  }
  return Right({
    ...admission,
    tenant: tenant.name,
    ...createHomes(intersectHomes(route, tenant)),
    priority: Math.min(MAX_PRIORITY, tenant.priority ?? route.priority),
  });
}

/** Adds a call's deadlines, or refuses it if it can't start in time. */
export function admitInTime(
  admission: Admission,
  { callerTimeouts, lag, onWithheld, quarantine }: ServingDependencies,
  nowMs: number,
): Either<LocalResponse, TimedAdmission> {
  const { headers: { callerTimeoutMs }, route } = admission;
  const remainingMs = Math.min(
    callerTimeoutMs ?? route.timeoutMs,
    route.timeoutMs,
  );
  const elapsedMs = callerTimeoutMs === undefined
    ? 0
    : callerTimeouts.noteTimeout(route.name, callerTimeoutMs);
  const isLate = elapsedMs >= route.targetMs;
  const lagMs = lag.lagMs(nowMs);
  const { targetMs } = route;
  const refusal = refuseWhileBehind({ lagMs, targetMs, remainingMs, isLate });
  if (refusal !== undefined) {
    onWithheld("lag");
    return Left(refusal);
  }
  const quarantineRefusal = refuseIfQuarantined(
    admission.headers,
    quarantine,
    nowMs,
  );
  if (quarantineRefusal !== undefined) {
    onWithheld("quarantine");
    return Left(quarantineRefusal);
  }
  return Right({
    ...admission,
    isLate,
    wasRefused: elapsedMs >= MIN_REFUSED_ELAPSED_MS,
    targetAtMs: nowMs + targetMs - elapsedMs,
    deadlineAtMs: nowMs + remainingMs,
    ...(route.maxSilenceMs === undefined
      ? {}
      : { leavesAtMs: nowMs + Math.min(remainingMs, route.maxSilenceMs) }),
  });
}

function createHomes(
  homes: readonly string[] | undefined,
): Pick<Admission, "homes"> {
  return homes === undefined ? {} : { homes };
}
