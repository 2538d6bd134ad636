import type { Coordinator } from "../coordination/index.ts";
import {
  type EngineSpecs,
  InstanceListView,
  type LeavingIncarnation,
} from "../groups/index.ts";
import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import { type KeyedChange, TopicCopy } from "../keyed_log/index.ts";
import {
  type CrashQuarantine,
  findHomeProblems,
  type InstanceLimits,
  type ServingConfig,
} from "../serving/index.ts";
import { ConfigView } from "./config_view.ts";
import { type ColdRules, createColdRules } from "./create_cold_rules.ts";
import { countMalformedEntries } from "./count_malformed_entries.ts";
import { createZoneRules, type ZoneRules } from "./create_zone_rules.ts";
import type { HostOptions } from "./host_options.ts";
import { KeyFreshness } from "./key_freshness.ts";
import { type LoadTrackers, removeAbsentInstances } from "./load_trackers.ts";
import { LongestCalls } from "./longest_calls.ts";
import type { KnownStore } from "./record_call.ts";

/** Dependencies of the store view. */
export interface StoreViewOptions
  extends Pick<HostOptions, "settings" | "ports"> {
  readonly trackers: LoadTrackers;
  readonly quarantine: CrashQuarantine;
  readonly limits: InstanceLimits;
  readonly coordinator: () => Coordinator;
  /** Whether this process has had requests. */
  readonly hasTraffic: () => boolean;
  readonly onConfig: (config: ServingConfig) => void;
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
  readonly nowMs: () => number;
  /** Unix time. */
  readonly wallMs: () => number;
}

/** Share of the key revocation time after which keys are no longer trusted. */
const TRUSTED_KEY_AGE_SHARE = 0.95;

/** The configuration and instances of the store, as known to this process. */
export class StoreView {
  readonly config: ConfigView;
  readonly configCopy = new TopicCopy();
  readonly instances: InstanceListView;
  readonly instancesCopy = new TopicCopy();
  readonly keys: KeyFreshness;
  readonly cold: ColdRules;
  readonly zones: ZoneRules;
  readonly longestCalls = new LongestCalls();
  /** Whether a new proof that the keys are the newest is needed. */
  needsProof = false;
  /** Time at which the instance list was last confirmed to be up to date. */
  listProvenAtMs = Number.NEGATIVE_INFINITY;
  readonly #options: StoreViewOptions;

  constructor(options: StoreViewOptions) {
    this.#options = options;
    const { settings, ports, record, nowMs, wallMs } = options;
    this.keys = new KeyFreshness({
      maxAgeMs: settings.keyRevocationMs * TRUSTED_KEY_AGE_SHARE,
      maxGapMs: settings.configApplyMs,
      onGapEnded: (ageMs) => record("config.unproven", { ageMs }),
      steadyMs: nowMs,
      wallMs,
      onClockJump: () => {
        this.needsProof = true;
        record("keys.doubted", {});
      },
    });
    this.config = new ConfigView({
      key: ports.configKey,
      decode: ports.decodeConfig,
      onAdopted: (version, offset) => this.#noteAdopted(version, offset),
      onMalformed: (message, offset) =>
        record("config.malformed", { message, offset }),
    });
    this.instances = new InstanceListView({
      decode: ports.decodeInstance,
      onMalformed: countMalformedEntries(options),
      onReturned: (returned) => record("list.returned", { ...returned }),
      onSettled: (settled) => record("list.settled", { ...settled }),
    });
    this.cold = this.#createColdRules();
    this.zones = createZoneRules({
      ...options,
      prefix: ports.evacuationPrefix,
      copy: this.configCopy,
      instances: this.instances,
      loads: options.trackers.loads,
      onRestored: this.cold.noteRestored,
    });
  }

  /** Engine specifications of the model services, by service. */
  get engines(): EngineSpecs {
    const engines = new Map();
    for (const [name, { engine }] of this.config.index?.config.services ?? []) {
      if (engine !== undefined && engine.models.length > 0) {
        engines.set(name, engine);
      }
    }
    return engines;
  }

  /** How far and how recently this process knows both topics. */
  get known(): KnownStore {
    return {
      configReadTo: this.configCopy.nextOffset,
      configAgeMs: this.keys.ageMs(),
      listReadTo: this.instancesCopy.nextOffset,
      listAgeMs: this.listAgeMs,
    };
  }

  /** Time since the instance list was last confirmed to be up to date. */
  get listAgeMs(): number {
    return this.#options.nowMs() - this.listProvenAtMs;
  }

  applyConfig(change: KeyedChange): void {
    this.configCopy.apply(change);
    this.#applyReleases(change);
    // Applied before the configuration, so that a starting process never serves
    // without the evacuations.
    const { evacuations } = this.zones;
    if (
      change.records.length > 0 || change.isFullRead || evacuations.hasKept
    ) this.zones.update();
    this.config.apply(change);
    this.keys.noteProof(change.freshAtMs);
  }

  /** Releases parts of prompts from quarantine, as the operator asked. */
  #applyReleases({ records }: KeyedChange): void {
    const { quarantine, ports: { releasePrefix } } = this.#options;
    for (const { key, value, offset } of records) {
      if (value === undefined || !key.startsWith(releasePrefix)) continue;
      quarantine.release(key.slice(releasePrefix.length), offset);
    }
  }

  applyInstances(change: KeyedChange): void {
    const { coordinator, trackers, nowMs } = this.#options;
    this.listProvenAtMs = Math.max(this.listProvenAtMs, change.freshAtMs);
    if (change.records.length === 0 && !change.isFullRead) {
      const { eraStart } = change;
      if (eraStart !== undefined) {
        this.instances.noteEraStart(eraStart, nowMs());
      }
      this.instances.settle(nowMs());
      return;
    }
    this.instancesCopy.apply(change);
    coordinator().noteChange();
    this.instances.apply(change, nowMs());
    this.cold.noteList(change);
    const isPresent = (id: string) => this.instances.find(id) !== undefined;
    removeAbsentInstances(trackers, isPresent, nowMs());
    this.#options.limits.keepOnly(isPresent);
  }

  /** Applies an instance's announcement that it is leaving. */
  noteLeaving(incarnation: LeavingIncarnation): void {
    if (this.instances.noteLeaving(incarnation)) {
      this.#options.record("instance.leaving", { ...incarnation });
    }
  }

  #noteAdopted(version: number, offset: number): void {
    const { settings, coordinator, onConfig, record, nowMs } = this.#options;
    const proofAgeMs = this.keys.ageMs();
    record("config.adopted", {
      version,
      offset,
      ...(Number.isFinite(proofAgeMs) ? { proofAgeMs } : {}),
    });
    coordinator().noteChange();
    const adopted = this.config.index!.config;
    const problems = findHomeProblems(adopted, settings.zoneRegions);
    if (problems !== undefined) record("config.homes", { ...problems });
    this.longestCalls.noteConfig(adopted, nowMs());
    onConfig(adopted);
  }

  #createColdRules(): ColdRules {
    const { settings } = this.#options;
    return createColdRules({
      ...this.#options,
      processId: settings.nodeId,
      bounds: {
        overshoot: settings.coldOvershoot,
        slackRequests: settings.coldSlackRequests,
      },
      instances: this.instances,
      findColdStart: (service) =>
        this.config.index?.config.services.get(service)?.cold,
    });
  }
}
