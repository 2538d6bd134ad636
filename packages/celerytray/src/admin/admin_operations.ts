import type { ConfigSet } from "@celerytray/schema";
import type { Effect } from "effect";
import type {
  ConfigRejected,
  DrainTarget,
  PublishedConfig,
  PublishFailure,
} from "../config/index.ts";
import type { TimelineEvent, TimelineFilter } from "../timeline/index.ts";

/** The state of one entry instance. */
export interface EntryStatus {
  readonly instanceId: string;
  readonly availabilityZone: string;
  /** Why it refuses requests; undefined when ready. */
  readonly notReadyReason?: string | undefined;
  readonly configVersion: number;
  /** Log service's clock, Unix time. */
  readonly configAcceptedAtMs: number;
  readonly callsInFlight: number;
  /** Entry instances seen live, this one included. */
  readonly liveEntries: readonly string[];
  /** Drained targets, as KIND:NAME. */
  readonly drains: readonly string[];
  readonly services: readonly ServiceStatus[];
}

/** Wanted and ready replicas of a service. */
export interface ServiceStatus {
  readonly service: string;
  readonly kind: "model" | "plain";
  readonly wantedReplicas: number;
  readonly readyReplicas: number;
}

/** The state of one replica. */
export interface ReplicaDescription {
  readonly replicaId: string;
  readonly state: string;
  readonly fencingNumber: number;
  readonly members: readonly string[];
  /** Members that prevent it from serving. */
  readonly faultyMembers: readonly string[];
}

/** The configuration in force. */
export interface ConfigDescription {
  readonly version: number;
  readonly author: string;
  /** Log service's clock, Unix time. */
  readonly acceptedAtMs: number;
  readonly config: ConfigSet;
}

/** A configuration to publish. */
export interface ConfigApplication {
  readonly config: unknown;
  readonly refinesVersion?: number | undefined;
  readonly author: string;
}

/** An accepted version. */
export interface ConfigVersionDescription {
  readonly version: number;
  readonly recordId: string;
  readonly author: string;
  /** Log service's clock, Unix time. */
  readonly acceptedAtMs: number;
  /** Fields that it set or removed; undefined if no longer known. */
  readonly changes?: string | undefined;
}

/** The version in force on an entry instance, or why it is unknown. */
export interface EntryVersion {
  readonly instanceId: string;
  readonly version?: number;
  /** Log service's clock, Unix time. */
  readonly acceptedAtMs?: number;
  readonly problem?: string;
}

/** An earlier version to publish again as a new one. */
export interface ConfigRollback {
  readonly version: number;
  readonly author: string;
}

/** A drain to start or to end. */
export interface DrainChange {
  readonly target: DrainTarget;
  readonly isDrained: boolean;
  readonly author: string;
}

/** Events of all entry instances. */
export interface MergedTimeline {
  readonly events: readonly TimelineEvent[];
  /** Entry instances that did not respond. */
  readonly missing: readonly string[];
}

/** Administrative operations of an entry instance. */
export interface AdminOperations {
  readonly status: () => Effect.Effect<EntryStatus>;
  readonly replicas: () => Effect.Effect<readonly ReplicaDescription[]>;
  readonly showConfig: () => Effect.Effect<ConfigDescription>;
  readonly applyConfig: (
    application: ConfigApplication,
  ) => Effect.Effect<PublishedConfig, ConfigRejected | PublishFailure>;
  readonly rollbackConfig: (
    rollback: ConfigRollback,
  ) => Effect.Effect<PublishedConfig, ConfigRejected | PublishFailure>;
  readonly configHistory: () => Effect.Effect<
    readonly ConfigVersionDescription[]
  >;
  /** The version in force on each entry instance. */
  readonly configVersions: () => Effect.Effect<readonly EntryVersion[]>;
  readonly drain: (
    change: DrainChange,
  ) => Effect.Effect<PublishedConfig, PublishFailure>;
  readonly timeline: (
    filter: TimelineFilter,
  ) => Effect.Effect<readonly TimelineEvent[]>;
  readonly mergedTimeline: (
    filter: TimelineFilter,
  ) => Effect.Effect<MergedTimeline>;
}
