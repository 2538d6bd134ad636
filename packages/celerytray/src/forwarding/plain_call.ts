import type { PlainService } from "@celerytray/schema";
import { Clock, Effect } from "effect";
import type { GrantedClaim } from "../claims/index.ts";
import type { AttemptPlan } from "./attempt_plan.ts";
import type { CallContext, ForwardingDependencies } from "./call_context.ts";
import { chooseBackend } from "./choose_backend.ts";
import type { PlainInstance } from "./forwarding_types.ts";
import { type PlainOutcome, runPlainAttempt } from "./plain_attempt.ts";

const DEFAULT_IDEMPOTENT_METHODS = ["GET", "HEAD", "OPTIONS"];

/** One call of a plain service. */
export interface PlainCall {
  readonly context: CallContext;
  readonly dependencies: ForwardingDependencies;
  readonly serviceName: string;
  readonly service: PlainService;
  /** Path and query below /services/NAME. */
  readonly path: string;
  readonly timeoutMs: number;
  readonly deadlineAtMs: number;
  readonly plan: AttemptPlan;
}

/** Whether the call's method is idempotent for its service. */
export function isIdempotent(call: PlainCall): boolean {
  const methods: readonly string[] = call.service.idempotentMethods ??
    DEFAULT_IDEMPOTENT_METHODS;
  return methods.includes(call.context.request.method ?? "");
}

/** Chooses an instance for one more attempt, if the plan allows one. */
export function chooseNextInstance(
  call: PlainCall,
  costRequests: number,
): Effect.Effect<PlainInstance | undefined> {
  return Effect.map(Clock.currentTimeMillis, (nowMs) => {
    const instance = chooseInstance(call, nowMs);
    if (instance === undefined) return undefined;
    if (call.plan.tryReserve(costRequests, nowMs).isLeft()) return undefined;
    call.plan.triedIds.add(instance.replicaId);
    return instance;
  });
}

/** Attempts the call on one instance and records the outcome. */
export function runAttempt(
  instance: PlainInstance,
  call: PlainCall & Partial<GrantedClaim>,
): Effect.Effect<PlainOutcome> {
  const { context, dependencies, plan, fencingNumber, mayDispatch } = call;
  const { requestId } = context;
  const { address, replicaId } = instance;
  return Effect.gen(function* () {
    const eventFields = { requestId, instanceId: replicaId };
    yield* dependencies.recordEvent("attempt.started", eventFields);
    dependencies.noteSent(replicaId);
    const startedAtMs = yield* Clock.currentTimeMillis;
    const outcome = yield* runPlainAttempt({
      address,
      method: context.request.method ?? "GET",
      path: call.path,
      headers: context.request.headers,
      body: context.body,
      requestId,
      timeoutMs: call.deadlineAtMs - startedAtMs,
      ...(isIdempotent(call)
        ? { agent: dependencies.pools.agentFor(address) }
        : {}),
      ...(fencingNumber === undefined ? {} : { fencingNumber }),
      ...(mayDispatch === undefined ? {} : { mayDispatch }),
    });
    const nowMs = yield* Clock.currentTimeMillis;
    if (outcome.kind === "answered") {
      dependencies.failures.get(call.serviceName).noteSuccess(replicaId);
      dependencies.hedgeDelays.get(call.serviceName)
        .noteDuration(nowMs - startedAtMs);
    } else {
      plan.noteOutcome(outcome.kind);
      dependencies.failures.get(call.serviceName).noteFailure(replicaId, nowMs);
      dependencies.pools.discard(address);
    }
    yield* dependencies.recordEvent(`attempt.${outcome.kind}`, eventFields);
    return outcome;
  }).pipe(
    Effect.onInterrupt(() =>
      Effect.sync(() => dependencies.pools.discard(address))
    ),
  );
}

function chooseInstance(
  call: PlainCall,
  nowMs: number,
): PlainInstance | undefined {
  const { dependencies, serviceName, plan } = call;
  return chooseBackend(dependencies.listPlainInstances(serviceName), {
    dependencies,
    service: serviceName,
    triedIds: plan.triedIds,
    call: { availabilityZone: dependencies.availabilityZone },
    nowMs,
  });
}
