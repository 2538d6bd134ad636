import { Effect, type Scope } from "effect";
import {
  type Coordinator,
  LEADER_READ_WAIT_MS,
  maxRelayedAgeMs,
} from "../coordination/index.ts";
import {
  followTopic,
  type KeyedChange,
  type KeyedLog,
} from "../keyed_log/index.ts";
import { keepRunning } from "./keep_running.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { KeyFreshness } from "./key_freshness.ts";
import type { StoreContact } from "./store_contact.ts";

/** What following the configuration and the list of instances works with. */
export interface FollowStoreOptions {
  readonly log: KeyedLog;
  readonly coordinator: Coordinator;
  readonly applyConfig: (change: KeyedChange) => void;
  readonly keys: KeyFreshness;
  readonly contacts: {
    readonly config: StoreContact;
    readonly instances: StoreContact;
  };
  /** Offset up to which the configuration is known. */
  readonly configOffset: () => number;
  /** Offset up to which the list of instances is known. */
  readonly instancesOffset: () => number;
  /** Time since the list was known to be the newest. */
  readonly listAgeMs: () => number;
  /** 0 to 1. */
  readonly random: () => number;
  readonly applyInstances: (change: KeyedChange) => void;
  readonly nowMs: () => number;
  readonly record: RecordEvent;
}

/** Longest wait of one read of a process that isn't told. */
const CONFIG_WAIT_MS = 2_000;
const INSTANCES_WAIT_MS = 3_000;
const CONFIG_PAUSE_MS = 20;
/** Time over which processes that are told no more spread their reads. */
const FALLBACK_SPREAD_MS = 400;
/** Pause after a change of the list; the process that decides pauses less. */
const INSTANCES_PAUSE_MS = 300;
const LEAD_INSTANCES_PAUSE_MS = 60;
/** Pause after a failed read of the process that decides. */
const LEAD_RETRY_MS = 250;
/** Pause after a failed read for each process, which bounds them together. */
const RETRY_SPREAD_MS = 15;

/** Follows both topics, where the lead doesn't tell of them, until the scope closes. */
export function followStore(
  options: FollowStoreOptions,
): Effect.Effect<void, never, Scope.Scope> {
  const { log, coordinator, keys, contacts, nowMs } = options;
  const retryMs = () =>
    retryPauseMs({
      isLeading: coordinator.isLeading,
      nodes: coordinator.countProcesses(),
    });
  const spreadMs = options.random() * FALLBACK_SPREAD_MS;
  const isToldEnough = (ageMs: number) =>
    !coordinator.isLeading &&
    ageMs < maxRelayedAgeMs(coordinator.statusPath) + spreadMs;
  const followConfig = followTopic({
    log,
    topic: "config",
    retryMs,
    waitMs: () => coordinator.isLeading ? LEADER_READ_WAIT_MS : CONFIG_WAIT_MS,
    pauseMs: () => CONFIG_PAUSE_MS,
    onChange: (change) => {
      contacts.config.noteAnswer(nowMs());
      options.applyConfig(change);
    },
    relay: {
      isRecent: () => isToldEnough(keys.ageMs()),
      nextOffset: options.configOffset,
    },
    onFailure: (message) => contacts.config.noteFailure(message, nowMs()),
  });
  const followInstances = followTopic({
    log,
    topic: "instances",
    retryMs,
    waitMs: () =>
      coordinator.isLeading ? LEADER_READ_WAIT_MS : INSTANCES_WAIT_MS,
    pauseMs: () =>
      coordinator.isLeading ? LEAD_INSTANCES_PAUSE_MS : INSTANCES_PAUSE_MS,
    onChange: (change) => {
      contacts.instances.noteAnswer(nowMs());
      options.applyInstances(change);
    },
    relay: {
      isRecent: () => isToldEnough(options.listAgeMs()),
      nextOffset: options.instancesOffset,
    },
    onFailure: (message) => contacts.instances.noteFailure(message, nowMs()),
  });
  const { record } = options;
  const keepFollowing = (loop: Effect.Effect<never>, name: string) =>
    Effect.forkScoped(keepRunning(loop, { name, record }));
  return Effect.asVoid(Effect.all([
    keepFollowing(followConfig, "following of the configuration"),
    keepFollowing(followInstances, "following of the list"),
  ]));
}

/**
 * Pause after a failed read. The lead soon tells the others when the store is
 * back, so they ask more rarely the more they are.
 */
export function retryPauseMs(
  options: { readonly isLeading: boolean; readonly nodes: number },
): number {
  const { isLeading, nodes } = options;
  if (isLeading) return LEAD_RETRY_MS;
  return Math.max(LEAD_RETRY_MS, nodes * RETRY_SPREAD_MS);
}
