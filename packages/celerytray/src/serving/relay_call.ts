import { Clock, Effect } from "effect";
import { readSteadyMs, steadyMs } from "../clock/index.ts";
import { yieldToEventLoop } from "../http/index.ts";
import { findWithheldReason } from "./attempt_once.ts";
import {
  type AttemptProgress,
  type AttemptsOptions,
  type AttemptsResult,
  maxReplicas,
  noteEventTime,
} from "./attempt_progress.ts";
import { concludeRelay } from "./conclude_relay.ts";
import { type AttemptOutcome, runAttempt } from "./exchange/index.ts";
import type { Gateway } from "./relay/index.ts";

/** Interval at which a gateway is checked while it serves a request. */
const GATEWAY_CHECK_INTERVAL_MS = 100;
/**
 * Silence after which a gateway that no longer takes part is left. One that stops
 * as planned completes what it has.
 */
const MAX_DEPARTED_SILENCE_MS = 1_100;
/** Time of writing after which a stream does not harm its replica. */
const HARMLESS_AFTER_MS = 100;

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
    const watch = new GatewayWatch(gateway);
    const outcome = yield* sendToGateway(options, progress, {
      attemptsLeft,
      watch,
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
      hasWritten: watch.hasWritten,
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
  { attemptsLeft, watch }: {
    readonly attemptsLeft: number;
    readonly watch: GatewayWatch;
  },
): Effect.Effect<AttemptOutcome> {
  const { call, exchange, dependencies } = options;
  const { codec } = dependencies;
  const { callerTimeoutMs } = call.headers;
  const { gateway } = watch;
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const waitedMs = nowMs() - call.arrivedAtMs;
    const writer = progress.stream.open();
    const { lastEventId } = progress.stream;
    progress.currentInstanceId = `through ${gateway.nodeId}`;
    watch.noteHeard(nowMs());
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
        watch.isAnswered = true;
      },
      onProgress: () => watch.noteHeard(nowMs()),
      maySend: () => findWithheldReason(options, nowMs()) === undefined,
      onSent: () => progress.isCurrentSent = true,
      onStreamHeaders: (headers) => writer.start(headers),
      lastEventId: () => progress.stream.lastEventId,
      onEvent: (event) => {
        const result = writer.write(event);
        if (result !== "closed" && result !== "out-of-order") {
          noteEventTime(progress, nowMs());
          watch.noteEvent(nowMs());
        }
        return result;
      },
      awaitDrain: (onReady) => {
        watch.isPaused = true;
        exchange.awaitDrain(() => {
          progress.lastEventAtMs = undefined;
          watch.isPaused = false;
          watch.noteHeard(nowMs());
          onReady();
        });
      },
      held: dependencies.held,
      onEnd: () => writer.close(),
      registerAbandon: (abandon) => progress.abandon = abandon,
    });
    return yield* call.route.retryPolicy === "once"
      ? attempt
      : Effect.raceFirst(
        attempt,
        abandonSilentGateway(options, progress, watch),
      );
  });
}

/** What an attempt at a gateway has brought so far. */
class GatewayWatch {
  readonly gateway: Gateway;
  isAnswered = false;
  /** Whether the response is not read because its caller is slow. */
  isPaused = false;
  /** Time of the last bytes, or at which the request was sent. */
  heardAtMs = Number.NEGATIVE_INFINITY;
  #firstEventAtMs: number | undefined;
  #lastEventAtMs = 0;

  constructor(gateway: Gateway) {
    this.gateway = gateway;
  }

  noteHeard(nowMs: number): void {
    this.heardAtMs = nowMs;
  }

  noteEvent(nowMs: number): void {
    this.#firstEventAtMs ??= nowMs;
    this.#lastEventAtMs = nowMs;
  }

  /** Whether its stream has written for a while. */
  get hasWritten(): boolean {
    return this.#firstEventAtMs !== undefined &&
      this.#lastEventAtMs - this.#firstEventAtMs >= HARMLESS_AFTER_MS;
  }
}

/**
 * Ends an attempt at a gateway that is silent and no longer takes part, or that
 * doesn't answer a call within half of its time. A stream may wait longer for its
 * first event. What this process has not read yet is no silence.
 */
function abandonSilentGateway(
  { call, dependencies: { gateways } }: AttemptsOptions,
  progress: AttemptProgress,
  watch: GatewayWatch,
): Effect.Effect<never> {
  return Effect.gen(function* () {
    const startedAtMs = yield* steadyMs;
    const maxSilenceMs = call.route.isStream
      ? Number.POSITIVE_INFINITY
      : (call.deadlineAtMs - startedAtMs) / 2;
    while (true) {
      yield* Effect.sleep(GATEWAY_CHECK_INTERVAL_MS);
      yield* yieldToEventLoop;
      const nowMs = yield* steadyMs;
      const isSilent = !watch.isAnswered &&
        nowMs - startedAtMs >= maxSilenceMs;
      const isGone = !watch.isPaused &&
        nowMs - watch.heardAtMs >= MAX_DEPARTED_SILENCE_MS &&
        gateways.isGone(watch.gateway);
      if (isSilent || isGone) progress.abandon?.("stalled");
    }
  });
}
