import { Effect, type Scope } from "effect";
import {
  type Coordinator,
  LEADER_READ_WAIT_MS,
  maxConfigReadAgeMs,
  maxRelayedAgeMs,
  minConfigReadAgeMs,
} from "../coordination/index.ts";
import {
  eraOf,
  followTopic,
  type KeyedChange,
  type KeyedLog,
  type LogPosition,
} from "../keyed_log/index.ts";
import { keepRunning } from "./keep_running.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { KeyFreshness } from "./key_freshness.ts";
import type { StoreContact } from "./store_contact.ts";

/** Dependencies of following the configuration and instance list. */
export interface FollowStoreOptions {
  readonly log: KeyedLog;
  readonly coordinator: Coordinator;
  readonly applyConfig: (change: KeyedChange) => void;
  readonly keys: KeyFreshness;
  /** Time within which a configuration that the store accepted is in force. */
  readonly configApplyMs: number;
  readonly contacts: {
    readonly config: StoreContact;
    readonly instances: StoreContact;
  };
  /** Offset up to which the configuration is known. */
  readonly configOffset: () => number;
  /** Offset up to which the instance list is known. */
  readonly instancesOffset: () => number;
  /** Time since the instance list was last confirmed to be up to date. */
  readonly listAgeMs: () => number;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  readonly applyInstances: (change: KeyedChange) => void;
  readonly nowMs: () => number;
  readonly record: RecordEvent;
}

/** Longest wait of one read of a process without relayed data. */
const CONFIG_WAIT_MS = 2_000;
const INSTANCES_WAIT_MS = 3_000;
const CONFIG_BATCH_DELAY_MS = 20;
/**
 * Range over which processes spread their first reads when relayed data stops.
 */
const MAX_FALLBACK_JITTER_MS = 400;
/**
 * Delay after a change of the instance list, in which further changes gather.
 * The leader's is shorter.
 */
const INSTANCES_BATCH_DELAY_MS = 300;
const LEADER_INSTANCES_BATCH_DELAY_MS = 60;
/** Delay after a failed read of the leader. */
const LEADER_RETRY_DELAY_MS = 250;
/**
 * Delay per process of the deployment after a failed read, and before a topic is
 * read anew that the leader reads at once. It bounds the total rate of reads.
 */
const DELAY_PER_PROCESS_MS = 15;

/**
 * Follows both topics until the scope closes, by reading the store where
 * relayed data is too old.
 */
export function followStore(
  options: FollowStoreOptions,
): Effect.Effect<void, never, Scope.Scope> {
  const { log, coordinator, keys, contacts, record, nowMs } = options;
  const retryMs = () =>
    retryDelayMs({
      isLeading: coordinator.isLeading,
      processCount: coordinator.countProcesses(),
    });
  const rereadDelayMs = () =>
    coordinator.isLeading
      ? 0
      : coordinator.countProcesses() * DELAY_PER_PROCESS_MS;
  const jitterFraction = options.random();
  const isRelayRecent = (
    ageMs: number,
    maxAgeMs: number,
    { own, other }: { readonly own: LogPosition; readonly other: LogPosition },
  ) =>
    !coordinator.isLeading && ageMs < maxAgeMs &&
    // What an earlier era confirmed says nothing of the later one.
    eraOf(own) >= eraOf(other);
  const configReadAgeMs = () => {
    const { configApplyMs } = options;
    const minMs = minConfigReadAgeMs(coordinator.statusPath, configApplyMs);
    const maxMs = maxConfigReadAgeMs(configApplyMs);
    return minMs + jitterFraction * (maxMs - minMs);
  };
  const instancesReadAgeMs = () =>
    maxRelayedAgeMs(coordinator.statusPath) +
    jitterFraction * MAX_FALLBACK_JITTER_MS;
  const followConfig = followTopic({
    log,
    topic: "config",
    retryMs,
    rereadDelayMs,
    waitMs: () => coordinator.isLeading ? LEADER_READ_WAIT_MS : CONFIG_WAIT_MS,
    pauseMs: () => CONFIG_BATCH_DELAY_MS,
    onChange: (change) => {
      contacts.config.noteResponse(nowMs());
      options.applyConfig(change);
    },
    relay: {
      isRecent: () =>
        isRelayRecent(keys.ageMs(), configReadAgeMs(), {
          own: options.configOffset(),
          other: options.instancesOffset(),
        }),
      nextOffset: options.configOffset,
    },
    onFailure: (message) => contacts.config.noteFailure(message, nowMs()),
    onHistoryDropped: (message) =>
      record("store.reread", { topic: "config", message }),
  });
  const followInstances = followTopic({
    log,
    topic: "instances",
    retryMs,
    rereadDelayMs,
    waitMs: () =>
      coordinator.isLeading ? LEADER_READ_WAIT_MS : INSTANCES_WAIT_MS,
    pauseMs: () =>
      coordinator.isLeading
        ? LEADER_INSTANCES_BATCH_DELAY_MS
        : INSTANCES_BATCH_DELAY_MS,
    onChange: (change) => {
      contacts.instances.noteResponse(nowMs());
      options.applyInstances(change);
    },
    relay: {
      isRecent: () =>
        isRelayRecent(options.listAgeMs(), instancesReadAgeMs(), {
          own: options.instancesOffset(),
          other: options.configOffset(),
        }),
      nextOffset: options.instancesOffset,
    },
    onFailure: (message) => contacts.instances.noteFailure(message, nowMs()),
    onHistoryDropped: (message) =>
      record("store.reread", { topic: "instances", message }),
  });
  const keepFollowing = (loop: Effect.Effect<never>, name: string) =>
    Effect.forkScoped(keepRunning(loop, { name, record }));
  return Effect.asVoid(Effect.all([
    keepFollowing(followConfig, "following of the configuration"),
    keepFollowing(followInstances, "following of the list"),
  ]));
}

/**
 * Returns the delay after a failed read. The leader soon relays that the store
 * is back, so the other processes retry less often the more there are.
 */
export function retryDelayMs(
  options: { readonly isLeading: boolean; readonly processCount: number },
): number {
  const { isLeading, processCount } = options;
  if (isLeading) return LEADER_RETRY_DELAY_MS;
  return Math.max(
    LEADER_RETRY_DELAY_MS,
    processCount * DELAY_PER_PROCESS_MS,
  );
}
