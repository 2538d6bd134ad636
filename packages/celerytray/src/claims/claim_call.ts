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

/** Leave to send a call once. */
export interface GrantedClaim {
  readonly kind: "granted";
  readonly claimRecordId: string;
  /** Place of the claim in its partition of the log. */
  readonly fencingNumber: number;
  /** Asked right before the call is sent; it is not sent on false. */
  readonly mayDispatch: () => boolean;
}

/** Whether this call runs, or what an earlier one with the key came to. */
export type ClaimDecision =
  | GrantedClaim
  | { readonly kind: "done"; readonly outcome: CallOutcome };

/** What a claim is made for. */
export type ClaimedCall = Omit<
  ClaimRecord,
  "kind" | "recordId" | "claimant" | "keyIssuedAtMs"
>;

/** A call to claim and the partition it belongs to. */
export interface ClaimCallOptions {
  readonly call: ClaimedCall;
  readonly processId: string;
  readonly policy: ClaimPolicy;
  readonly writer: LogWriter;
  readonly view: ClaimView;
  /** Longest wait for the outcome of another call with the key. */
  readonly waitMs: number;
  readonly createRecordId: () => string;
  /** Frees the key of a claim whose call is certain not to be sent. */
  readonly release: (claimRecordId: string) => Effect.Effect<void>;
}

const RETRY_AFTER_MS = 2_000;
const NANOS_PER_MS = 1_000_000;

/** Claims a call; it may be dispatched only when granted. */
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

/** Partition of a key, the same in every process. */
export function selectClaimPartition(
  call: Pick<ClaimRecord, "organisation" | "service" | "key">,
  partitionCount: number,
): number {
  const digest = createHash("sha256").update(createClaimKey(call)).digest();
  return digest.readUInt32BE(0) % partitionCount;
}

/** The grant; undefined when another call holds the key. */
function appendClaim(
  options: ClaimCallOptions,
): Effect.Effect<GrantedClaim | undefined, ClaimFailure> {
  const { call, policy, view, writer } = options;
  const recordId = options.createRecordId();
  let mayStand = false;
  const attempt = Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const sentAt = readClock(clock);
    mayStand = true;
    const issuedAtMs = findKeyIssuedAtMs(call.key);
    const offset = yield* writer.append({
      ...call,
      kind: "claim",
      recordId,
      claimant: options.processId,
      ...(issuedAtMs === undefined ? {} : { keyIssuedAtMs: issuedAtMs }),
    }, { timeoutMs: policy.timeoutMs }).pipe(
      Effect.mapError((error) => {
        if (error._tag === "LogUnavailable") mayStand = false;
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
      mayStand = false;
      return undefined;
    }
    yield* checkHistory(options, holder.claimedAtMs);
    mayStand = false;
    return createGrant(holder, { options, clock, sentAt });
  });
  return Effect.onExit(
    attempt,
    () => mayStand ? options.release(recordId) : Effect.void,
  );
}

/** Fails where an earlier claim of the key may lie before what was read. */
function checkHistory(
  { call, policy, view }: ClaimCallOptions,
  atMs: number,
): Effect.Effect<void, ClaimOutcomeUnknown> {
  const firstUseMs = findKeyIssuedAtMs(call.key) ?? atMs - policy.windowMs;
  return view.isCompleteSince(firstUseMs - policy.maxClockErrorMs)
    ? Effect.void
    : Effect.fail(createHistoryLostError());
}

interface Granting {
  readonly options: ClaimCallOptions;
  readonly clock: Clock.Clock;
  readonly sentAt: ClockReading;
}

function createGrant(holder: Claim, granting: Granting): GrantedClaim {
  const { clock, sentAt, options } = granting;
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

interface Waiting {
  readonly options: ClaimCallOptions;
  readonly startedAtMs: number;
}

/** The outcome; undefined when the key was freed. */
function awaitOutcome(
  holder: Claim,
  waiting: Waiting,
): Effect.Effect<CallOutcome | undefined, ClaimFailure> {
  const { call, view, waitMs, policy } = waiting.options;
  return Effect.gen(function* () {
    if (holder.requestSha256 !== call.requestSha256) {
      return yield* createKeyReusedError();
    }
    if (holder.outcome !== undefined) return holder.outcome;
    const nowMs = yield* Clock.currentTimeMillis;
    const lastEndMs = holder.claimedAtMs + policy.dispatchMs + waitMs +
      policy.maxClockErrorMs;
    if (nowMs > lastEndMs) return yield* createOutcomeUnknownError();
    const leftMs = waiting.startedAtMs + waitMs - nowMs;
    if (leftMs <= 0) return yield* createBusyError();
    yield* view.waitForChange(createClaimKey(call), holder).pipe(
      Effect.timeoutOrElse({
        duration: leftMs,
        orElse: () => Effect.fail(createBusyError()),
      }),
    );
    const changed = view.find(createClaimKey(call));
    if (changed === undefined) return undefined;
    return yield* awaitOutcome(changed, waiting);
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
      "A call with this idempotency key still runs; retry with the same key to learn its outcome",
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
      "The log no longer tells whether a call with this key ran before; ask the service before a new key is used",
  });
}
