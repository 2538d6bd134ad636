import type { CallOutcome, ClaimRecord } from "@celerytray/schema";
import { Clock, Effect } from "effect";
import { createHash } from "node:crypto";
import { fromEither } from "../errors/index.ts";
import type { LogWriter } from "../log/index.ts";
import { checkKeyAge } from "./check_key_age.ts";
import {
  ClaimBusy,
  type ClaimFailure,
  ClaimKeyReused,
  ClaimOutcomeUnknown,
  ClaimUnavailable,
} from "./claim_errors.ts";
import type { ClaimPolicy } from "./claim_policy.ts";
import { type Claim, createClaimKey } from "./claim_table.ts";
import type { ClaimView } from "./claim_view.ts";
import {
  type ClockReading,
  isBeforeDispatchDeadline,
} from "./dispatch_deadline.ts";
import { findKeyIssuedAtMs } from "./key_time.ts";

/** Permission to send a call once. */
export interface GrantedClaim {
  readonly kind: "granted";
  readonly claimRecordId: string;
  /** Offset of the claim in its partition of the log. */
  readonly fencingNumber: number;
  /** Must be checked right before the call is sent; if false, it is not sent. */
  readonly mayDispatch: () => boolean;
}

/** Permission to run the call, or the outcome of an earlier one with the key. */
export type ClaimDecision =
  | GrantedClaim
  | { readonly kind: "done"; readonly outcome: CallOutcome };

/** The call that a claim is made for. */
export type ClaimedCall = Omit<
  ClaimRecord,
  "kind" | "recordId" | "claimant" | "keyIssuedAtMs"
>;

/** A call to claim, and access to its partition of the log. */
export interface ClaimCallOptions {
  readonly call: ClaimedCall;
  readonly processId: string;
  readonly policy: ClaimPolicy;
  readonly writer: LogWriter;
  readonly view: ClaimView;
  /** Maximum wait for the outcome of another call with the key. */
  readonly waitMs: number;
  readonly createRecordId: () => string;
  /** Releases the key of a claim whose call is certain not to be sent. */
  readonly release: (claimRecordId: string) => Effect.Effect<void>;
}

const RETRY_AFTER_MS = 2_000;
const NANOS_PER_MS = 1_000_000;

/** Claims a call. It may be dispatched only if the claim is granted. */
export function claimCall(
  options: ClaimCallOptions,
): Effect.Effect<ClaimDecision, ClaimFailure> {
  const { call, policy, view } = options;
  return Effect.gen(function* () {
    const startedAtMs = yield* Clock.currentTimeMillis;
    const issuedAtMs = findKeyIssuedAtMs(call.key);
    yield* fromEither(checkKeyAge({ issuedAtMs, nowMs: startedAtMs }, policy));
    while (true) {
      const holder = view.find(createClaimKey(call));
      if (holder === undefined) {
        const granted = yield* appendClaim(options);
        if (granted !== undefined) return granted;
        continue;
      }
      yield* checkHistory(options, startedAtMs);
      const outcome = yield* awaitOutcome(holder, { options, startedAtMs });
      if (outcome !== undefined) return { kind: "done", outcome };
    }
  });
}

/** Selects the partition of a key; the same in every process. */
export function selectClaimPartition(
  call: Pick<ClaimRecord, "organisation" | "service" | "key">,
  partitionCount: number,
): number {
  const digest = createHash("sha256").update(createClaimKey(call)).digest();
  return digest.readUInt32BE(0) % partitionCount;
}

/** Appends a claim; undefined if another call holds the key. */
function appendClaim(
  options: ClaimCallOptions,
): Effect.Effect<GrantedClaim | undefined, ClaimFailure> {
  const { call, policy, view, writer } = options;
  const recordId = options.createRecordId();
  let mayHoldKey = false;
  const attempt = Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const sentAt = readClock(clock);
    mayHoldKey = true;
    const issuedAtMs = findKeyIssuedAtMs(call.key);
    const offset = yield* writer.append({
      ...call,
      kind: "claim",
      recordId,
      claimant: options.processId,
      ...(issuedAtMs === undefined ? {} : { keyIssuedAtMs: issuedAtMs }),
    }, { timeoutMs: policy.timeoutMs }).pipe(
      Effect.mapError((error) => {
        if (error._tag === "LogUnavailable") mayHoldKey = false;
        return createUnavailable();
      }),
    );
    yield* view.waitForOffset(offset).pipe(Effect.timeoutOrElse({
      duration: policy.timeoutMs,
      orElse: () => Effect.fail(createUnavailable()),
    }));
    const holder = view.find(createClaimKey(call));
    if (holder === undefined) return yield* createUnavailable();
    if (holder.claimRecordId !== recordId) {
      mayHoldKey = false;
      return undefined;
    }
    yield* checkHistory(options, holder.claimedAtMs);
    mayHoldKey = false;
    return createGrant(holder, { options, clock, sentAt });
  });
  return Effect.onExit(
    attempt,
    () => mayHoldKey ? options.release(recordId) : Effect.void,
  );
}

/** Fails if an earlier claim of the key may precede the records that were read. */
function checkHistory(
  { call, policy, view }: ClaimCallOptions,
  atMs: number,
): Effect.Effect<void, ClaimOutcomeUnknown> {
  const firstUseMs = findKeyIssuedAtMs(call.key) ?? atMs - policy.windowMs;
  return view.isCompleteSince(firstUseMs - policy.maxClockErrorMs)
    ? Effect.void
    : Effect.fail(createHistoryLostError());
}

interface GrantContext {
  readonly options: ClaimCallOptions;
  readonly clock: Clock.Clock;
  readonly sentAt: ClockReading;
}

function createGrant(holder: Claim, context: GrantContext): GrantedClaim {
  const { clock, sentAt, options } = context;
  const { claimRecordId, claimedAtMs } = holder;
  return {
    kind: "granted",
    claimRecordId,
    fencingNumber: holder.offset,
    mayDispatch: () =>
      isBeforeDispatchDeadline(
        { sentAt, claimedAtMs, now: readClock(clock) },
        options.policy,
      ),
  };
}

interface WaitContext {
  readonly options: ClaimCallOptions;
  readonly startedAtMs: number;
}

/** Waits for the outcome of the holder's call; undefined if its key is released. */
function awaitOutcome(
  holder: Claim,
  context: WaitContext,
): Effect.Effect<CallOutcome | undefined, ClaimFailure> {
  const { call, view, waitMs, policy } = context.options;
  return Effect.gen(function* () {
    if (holder.requestSha256 !== call.requestSha256) {
      return yield* createKeyReusedError();
    }
    if (holder.outcome !== undefined) return holder.outcome;
    const nowMs = yield* Clock.currentTimeMillis;
    const lastEndMs = holder.claimedAtMs + policy.dispatchMs + waitMs +
      policy.maxClockErrorMs;
    if (nowMs > lastEndMs) return yield* createOutcomeUnknownError();
    const leftMs = context.startedAtMs + waitMs - nowMs;
    if (leftMs <= 0) return yield* createBusyError();
    yield* view.waitForChange(createClaimKey(call), holder).pipe(
      Effect.timeoutOrElse({
        duration: leftMs,
        orElse: () => Effect.fail(createBusyError()),
      }),
    );
    const changed = view.find(createClaimKey(call));
    if (changed === undefined) return undefined;
    return yield* awaitOutcome(changed, context);
  });
}

function readClock(clock: Clock.Clock): ClockReading {
  return {
    wallMs: clock.currentTimeMillisUnsafe(),
    monotonicMs: Number(clock.monotonicTimeNanosUnsafe()) / NANOS_PER_MS,
  };
}

function createUnavailable(): ClaimUnavailable {
  return new ClaimUnavailable({
    message: "The call could not be claimed; retry with the same key",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function createKeyReusedError(): ClaimKeyReused {
  return new ClaimKeyReused({
    message: "The idempotency key was used for another request; send a new key",
  });
}

function createBusyError(): ClaimBusy {
  return new ClaimBusy({
    message:
      "A call with this idempotency key is still running; retry with the same key to get its outcome",
  });
}

function createOutcomeUnknownError(): ClaimOutcomeUnknown {
  return new ClaimOutcomeUnknown({
    message:
      "The outcome of the first call with this key is unknown; ask the service before a new key is used",
  });
}

function createHistoryLostError(): ClaimOutcomeUnknown {
  return new ClaimOutcomeUnknown({
    message:
      "The log no longer shows whether a call with this key ran before; ask the service before a new key is used",
  });
}
