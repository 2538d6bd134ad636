import type { Effect } from "effect";
import type {
  InstanceAddress,
  LeavingIncarnation,
  Reaches,
  ReplicaController,
  ReplicaRecord,
  ReplicaRecorder,
} from "../groups/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { KeyedLog } from "../keyed_log/index.ts";
import type {
  CrashQuarantine,
  InstanceLimits,
  WindowTotals,
} from "../serving/index.ts";
import type { PeerNode } from "./peer_messages.ts";
import type { PeerCalls } from "./peer_router.ts";
import type { RelayedTopic } from "./relayed_topic.ts";
import type { ConfigInForce } from "./config_in_force.ts";
import type { LossSources } from "./reported_losses.ts";

/** Inputs of the replica controller that a new leader creates. */
export interface ControllerStart {
  readonly term: number;
  readonly replicas: readonly ReplicaRecord[];
  /** Names of replicas that are known to be retired. */
  readonly retiredNames: readonly string[];
  readonly recorder: ReplicaRecorder;
  /**
   * Asks other processes whether they reach instances; those that don't answer
   * are left out.
   */
  readonly askOthers: (
    instances: readonly InstanceAddress[],
  ) => Effect.Effect<readonly Reaches[]>;
  /** Times since which instances have not answered this process. */
  readonly silentSinceMs: ReadonlyMap<string, number>;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  /** Called when an instance refuses an order as outdated. */
  readonly onOutdated: () => void;
}

/** Dependencies of a coordinator. */
export interface CoordinatorOptions {
  readonly self: PeerNode;
  readonly bootId: string;
  /** Generation of its way to lead, as in the record of a leader. */
  readonly generation: number;
  readonly log: KeyedLog;
  readonly client: PeerCalls;
  /** Heads at which requests of this process are stalled. */
  readonly listStalledHeads: () => readonly string[];
  /** Heads of replicas that this process measures as slow. */
  readonly listSlowHeads: () => readonly string[];
  /** Requests of this process in progress, by model. */
  readonly demand: () => Readonly<Record<string, number>>;
  /** Requests of this process in progress or waiting, by organisation. */
  readonly tenantDemand: () => Readonly<Record<string, number>>;
  /**
   * Requests and retries of this process within the retry window, by service.
   */
  readonly retryTotals: () => Readonly<Record<string, WindowTotals>>;
  /** Window in which retries count. */
  readonly retryWindowMs: number;
  readonly hasTraffic: () => boolean;
  /** Time of the store's last response to this process. */
  readonly storeAnsweredAtMs: () => number;
  /** The configuration topic, relayed to other processes. */
  readonly config: RelayedTopic;
  /**
   * The configuration in force, of which other processes are told that know only
   * an older copy of the store; nothing is told without it.
   */
  readonly configInForce?: ConfigInForce;
  /** The instance list topic, relayed to other processes. */
  readonly instances: RelayedTopic;
  /**
   * Instances that announced that they are leaving but are still listed as
   * ready.
   */
  readonly listLeaving: () => readonly LeavingIncarnation[];
  /** Applies leaving announcements that other processes received. */
  readonly onLeaving: (incarnations: readonly LeavingIncarnation[]) => void;
  /** Parts of prompts that crash instances, as this process knows them. */
  readonly quarantine: CrashQuarantine;
  /** The instances that processes report as lost. */
  readonly losses: LossSources;
  /** Limits on the requests of instances, as this process knows them. */
  readonly limits: InstanceLimits;
  /** Services whose instances this process does not reach. */
  readonly listLostServices: () => readonly string[];
  /** Whether these include one whose replicas the leader controls. */
  readonly hasLostReplicas: () => boolean;
  /** Whether this process reaches instances. */
  readonly findReaches: (
    instances: readonly InstanceAddress[],
  ) => Effect.Effect<Reaches>;
  readonly createController: (start: ControllerStart) => ReplicaController;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  readonly record: RecordEvent;
}
