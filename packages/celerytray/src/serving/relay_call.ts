import { Clock, Effect } from "effect";
import { readSteadyMs, steadyMs } from "../clock/index.ts";
import { findWithheldReason } from "./attempt_once.ts";
import {
  type AttemptProgress,
  type AttemptsOptions,
  type AttemptsResult,
  maxReplicas,
  noteEventTime,
} from "./attempt_progress.ts";
import { concludeRelay, type RelayAttempt } from "./conclude_relay.ts";
import { type AttemptOutcome, runAttempt } from "./exchange/index.ts";
import type { Gateway } from "./relay/index.ts";

/** Interval at which a gateway is checked while it serves a request. */
const GATEWAY_CHECK_INTERVAL_MS = 100;
/**
 * Silence after which a gateway that no longer takes part is left. One that stops
 * as planned completes what it has.
 */
const MAX_DEPARTED_SILENCE_MS = 500;

/**
 * Serves a request through another process. Returns its end; undefined if it
 * may be attempted again.
 */
export function relayCall(
  options: AttemptsOptions,
  progress: AttemptProgress,
  gateway: Gateway,
): Effect.Effect<AttemptsResult | undefined> {
  const { call, dependencies } = options;
  const { gateways, noteDemand } = dependencies;
  const { model } = call.headers;
  const source = {
    model: model ?? "",
    ...(call.tenant === undefined ? {} : { tenant: call.tenant }),
  };
  const attemptsLeft = countHandedAttempts(options, progress);
  return Effect.gen(function* () {
    progress.gatewaySentAtMs.set(gateway.nodeId, yield* steadyMs);
    gateways.noteSent(gateway);
    // The gateway counts it meanwhile.
    noteDemand(source, -1);
    const outcome = yield* sendToGateway(options, progress, {
      gateway,
      attemptsLeft,
    }).pipe(
      Effect.ensuring(Effect.sync(() => {
        gateways.noteEnded(gateway);
        noteDemand(source, 1);
      })),
    );
    const nowMs = yield* steadyMs;
    return concludeRelay(options, progress, {
      gateway,
      outcome,
      attemptsLeft,
      nowMs,
    });
  });
}

/**
 * Attempts that the gateway may make. One is kept back where there are several,
 * for a gateway that is lost itself.
 */
function countHandedAttempts(
  { call }: AttemptsOptions,
  { runs }: AttemptProgress,
): number {
  const left = maxReplicas(call) - runs.count;
  return Math.max(1, left - 1);
}

function sendToGateway(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { gateway, attemptsLeft }: RelayAttempt,
): Effect.Effect<AttemptOutcome> {
  const { call, exchange, dependencies } = options;
  const { codec } = dependencies;
  const { callerTimeoutMs } = call.headers;
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const waitedMs = nowMs() - call.arrivedAtMs;
    const writer = progress.stream.open();
    const { lastEventId } = progress.stream;
    progress.currentInstanceId = `through ${gateway.nodeId}`;
    let isAnswered = false;
    let heardAtMs = nowMs();
    const noteHeard = () => {
      heardAtMs = nowMs();
    };
    const attempt = runAttempt({
      codec,
      address: gateway.peerAddress,
      method: call.headers.method,
      target: call.headers.target,
      headers: codec.encodeRelayed(call.headers, {
        attemptsLeft,
        bodyBytes: call.body.length,
        ...(callerTimeoutMs === undefined
          ? {}
          : { callerTimeoutMs: callerTimeoutMs - waitedMs }),
        ...(lastEventId === undefined ? {} : { lastEventId }),
      }),
      body: call.body,
      callId: call.headers.id,
      agent: call.route.retryPolicy === "once"
        ? undefined
        : dependencies.agentFor(gateway.peerAddress),
      onHeaders: () => {
        isAnswered = true;
      },
      onProgress: noteHeard,
      maySend: () => findWithheldReason(options, nowMs()) === undefined,
      onSent: () => progress.isCurrentSent = true,
      onStreamHeaders: (headers) => writer.start(headers),
      lastEventId: () => progress.stream.lastEventId,
      onEvent: (event) => {
        const result = writer.write(event);
        if (result !== "closed" && result !== "out-of-order") {
          noteEventTime(progress, nowMs());
        }
        return result;
      },
      awaitDrain: (onReady) =>
        exchange.awaitDrain(() => {
          progress.lastEventAtMs = undefined;
          onReady();
        }),
      held: dependencies.held,
      onEnd: () => writer.close(),
      registerAbandon: (abandon) => progress.abandon = abandon,
    });
    const watch: GatewayWatch = {
      gateway,
      hasAnswered: () => isAnswered,
      heardAtMs: () => heardAtMs,
    };
    return yield* call.route.retryPolicy === "once"
      ? attempt
      : Effect.raceFirst(
        attempt,
        abandonSilentGateway(options, progress, watch),
      );
  });
}

/** An attempt at a gateway that may be silent. */
interface GatewayWatch {
  readonly gateway: Gateway;
  readonly hasAnswered: () => boolean;
  /** Time of its last bytes, or at which the request was sent. */
  readonly heardAtMs: () => number;
}

/**
 * Ends an attempt at a gateway that is silent and no longer takes part, or that
 * doesn't answer a call within half of its time. A stream may wait longer for its
 * first event.
 */
function abandonSilentGateway(
  { call, dependencies: { gateways } }: AttemptsOptions,
  progress: AttemptProgress,
  { gateway, hasAnswered, heardAtMs }: GatewayWatch,
): Effect.Effect<never> {
  return Effect.gen(function* () {
    const startedAtMs = yield* steadyMs;
    const maxSilenceMs = call.route.isStream
      ? Number.POSITIVE_INFINITY
      : (call.deadlineAtMs - startedAtMs) / 2;
    while (true) {
      yield* Effect.sleep(GATEWAY_CHECK_INTERVAL_MS);
      const nowMs = yield* steadyMs;
      const isSilent = !hasAnswered() && nowMs - startedAtMs >= maxSilenceMs;
      const isGone = nowMs - heardAtMs() >= MAX_DEPARTED_SILENCE_MS &&
        gateways.isGone(gateway);
      if (isSilent || isGone) progress.abandon?.("stalled");
    }
  });
}
