import { Effect } from "effect";
import { Agent } from "node:http";
import { PlatformCallCodec } from "../platform/call_codec.ts";
import { CallAdmission, type CallAdmissionOptions } from "./admission/index.ts";
import { CallerTimeoutTracker } from "./caller_timeout_tracker.ts";
import { ColdRateLimiter } from "./cold_rate_limiter.ts";
import { ColdTracker } from "./cold_tracker.ts";
import type { ServingDependencies } from "./call_context.ts";
import { GracefulStop } from "./graceful_stop.ts";
import { HeldBytes } from "./exchange/index.ts";
import { LoadTracker } from "./load_tracker.ts";
import { PaceTracker } from "./pace_tracker.ts";
import { PromptBacklog } from "./prompt_backlog.ts";
import { CrashQuarantine, SuspectLoad } from "./quarantine/index.ts";
import { InstanceLimits } from "./rate_limit/index.ts";
import { QueueWaitEstimator } from "./queue_wait_estimator.ts";
import { SharedRetryBudget } from "./shared_retry_budget.ts";
import { BackoffTracker } from "./backoff_tracker.ts";
import { BackendLinks, GatewayChoice } from "./relay/index.ts";
import { SilenceStats } from "./silence_stats.ts";
import { StallDetector } from "./stall_detector.ts";

/** Dependencies that a test provides itself. */
export type TestDependencies =
  & Pick<ServingDependencies, "index" | "listTargets" | "record">
  & Partial<ServingDependencies>;

const MAX_HELD_BYTES = 32 * 1024 * 1024;

/** Creates dependencies for tests, by default without effective limits. */
export function createTestDependencies(
  overrides: TestDependencies,
): ServingDependencies {
  const agent = new Agent({ keepAlive: true });
  const loads = overrides.loads ?? new LoadTracker();
  const links = overrides.links ?? new BackendLinks();
  return {
    codec: new PlatformCallCodec(),
    zone: "z",
    areKeysFresh: () => true,
    isConfigCurrent: () => true,
    findExclusionReason: () => undefined,
    isReportedSilent: () => false,
    coldLimiter: new ColdRateLimiter({
      tracker: new ColdTracker({
        findColdStart: () => undefined,
        onCold: () => {},
        onMalformed: () => {},
      }),
      processId: "p",
      bounds: { overshoot: 1.5, slackRequests: 5 },
      countProcesses: () => 1,
    }),
    loads,
    queueWaits: new QueueWaitEstimator(loads),
    backoffs: new BackoffTracker(),
    stalls: new StallDetector(),
    paces: new PaceTracker(),
    silences: new SilenceStats(),
    prompts: new PromptBacklog(),
    quarantine: createTestQuarantine(),
    suspectLoad: new SuspectLoad(),
    isClosing: () => false,
    aliveCheck: { isAlive: () => Effect.succeed(false) },
    limits: new InstanceLimits({
      nodeId: "p",
      countProcesses: () => 1,
      isStatusFresh: () => false,
      onChange: () => {},
    }),
    callerTimeouts: new CallerTimeoutTracker(),
    held: new HeldBytes({
      maxBytes: MAX_HELD_BYTES,
      nowMs: () => 0,
      onCut: () => {},
    }),
    stop: new GracefulStop(),
    lag: { lagMs: () => 0, isBehind: () => false },
    admission: createTestAdmission(),
    links,
    gateways: new GatewayChoice({
      gateways: () => [],
      links,
      zone: "z",
      zoneRegions: new Map(),
      random: () => 0,
    }),
    retryBudget: new SharedRetryBudget({
      share: 1,
      slackRequests: 100,
      windowMs: 10_000,
      countMachines: () => 1,
      sharedTotals: () => undefined,
      totalsLagMs: () => 1_000,
      startedAtMs: Number.NEGATIVE_INFINITY,
      random: () => 0.5,
    }),
    agentFor: () => agent,
    discardAgent: () => {},
    hasConnection: () => false,
    random: () => 0.5,
    noteDemand: () => {},
    onWithheld: () => {},
    noteLeaving: () => {},
    onFault: () => {},
    onBackoff: () => {},
    onMalformedHeaders: () => {},
    onLateEvent: () => {},
    onAttemptEnded: () => {},
    onUnsent: () => {},
    ...overrides,
  };
}

/** Creates a quarantine that has been loaded and is empty. */
export function createTestQuarantine(): CrashQuarantine {
  const quarantine = new CrashQuarantine({ nodeId: "p", onEvent: () => {} });
  quarantine.load([]);
  return quarantine;
}

/** Creates admission control without information from other processes. */
export function createTestAdmission(
  overrides: Partial<CallAdmissionOptions> = {},
): CallAdmission {
  return new CallAdmission({
    tenantTotals: () => undefined,
    totalsAgeMs: () => undefined,
    timeToReplicaMs: () => undefined,
    headOccupancy: () => "some-full",
    onRefused: () => {},
    ...overrides,
  });
}
