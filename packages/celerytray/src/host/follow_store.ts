import { Effect, type Scope } from "effect";
import type { Coordinator } from "../coordination/index.ts";
import {
  followKeyed,
  type KeyedChange,
  type KeyedLog,
} from "../keyed_log/index.ts";
import type { ConfigView } from "./config_view.ts";
import type { KeyFreshness } from "./key_freshness.ts";
import type { StoreContact } from "./store_contact.ts";

/** What following the configuration and the list of instances works with. */
export interface FollowStoreOptions {
  readonly log: KeyedLog;
  readonly coordinator: Coordinator;
  readonly config: ConfigView;
  readonly keys: KeyFreshness;
  readonly contacts: {
    readonly config: StoreContact;
    readonly instances: StoreContact;
  };
  /** Offset up to which the lead knows the configuration. */
  readonly toldOffset: () => number;
  /** Offset up to which the list of instances is known. */
  readonly instancesOffset: () => number;
  readonly applyInstances: (change: KeyedChange) => void;
  readonly nowMs: () => number;
}

/** Longest wait of one read, which bounds the age of the keys. */
const CONFIG_WAIT_MS = 2_000;
/** The same where others are told of it, which ages it further. */
const LEAD_CONFIG_WAIT_MS = 1_000;
/** Age of the keys up to which the lead's word on them is enough. */
const MAX_TOLD_KEY_AGE_MS = 2_300;
const CONFIG_PAUSE_MS = 20;
const INSTANCES_WAIT_MS = 10_000;
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
  const { log, coordinator, config, keys, contacts, nowMs } = options;
  const retryMs = () =>
    retryPauseMs({
      isLeading: coordinator.isLeading,
      nodes: coordinator.countNodes(),
    });
  const followConfig = followKeyed({
    log,
    topic: "config",
    retryMs,
    waitMs: () => coordinator.isLeading ? LEAD_CONFIG_WAIT_MS : CONFIG_WAIT_MS,
    pauseMs: () => CONFIG_PAUSE_MS,
    onChange: (change) => {
      contacts.config.noteAnswer(nowMs());
      config.apply(change);
      keys.noteProof(change.freshAtMs);
    },
    relay: {
      isEnough: () =>
        coordinator.hearsLead() && options.toldOffset() <= config.nextOffset &&
        keys.ageMs() < MAX_TOLD_KEY_AGE_MS,
      nextOffset: () => config.nextOffset,
    },
    onFailure: (message) => contacts.config.noteFailure(message, nowMs()),
  });
  const followInstances = followKeyed({
    log,
    topic: "instances",
    retryMs,
    waitMs: () => INSTANCES_WAIT_MS,
    pauseMs: () =>
      coordinator.isLeading ? LEAD_INSTANCES_PAUSE_MS : INSTANCES_PAUSE_MS,
    onChange: (change) => {
      contacts.instances.noteAnswer(nowMs());
      options.applyInstances(change);
    },
    relay: {
      isEnough: () => coordinator.hearsLead(),
      nextOffset: options.instancesOffset,
    },
    onFailure: (message) => contacts.instances.noteFailure(message, nowMs()),
  });
  return Effect.asVoid(Effect.all([
    Effect.forkScoped(followConfig),
    Effect.forkScoped(followInstances),
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
