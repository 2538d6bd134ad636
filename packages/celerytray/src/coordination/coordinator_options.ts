import type {
  LeavingIncarnation,
  ReplicaController,
  ReplicaRecord,
  ReplicaRecorder,
} from "../groups/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { KeyedLog } from "../keyed_log/index.ts";
import type { WindowTotals } from "../serving/index.ts";
import type { PeerNode } from "./peer_messages.ts";
import type { PeerCalls } from "./peer_router.ts";
import type { RelayedTopic } from "./relayed_topic.ts";

/** What a new lead directs the replicas with. */
export interface DirectorStart {
  readonly term: number;
  readonly replicas: readonly ReplicaRecord[];
  readonly recorder: ReplicaRecorder;
  /** To be told that an instance refused an order as outdated. */
  readonly onOutdated: () => void;
}

/** What taking part in deciding on replicas works with. */
export interface CoordinatorOptions {
  readonly self: PeerNode;
  readonly bootId: string;
  readonly log: KeyedLog;
  readonly client: PeerCalls;
  /** Heads at which requests of this process stand still. */
  readonly listStalledHeads: () => readonly string[];
  /** Heads of replicas that this process finds slow. */
  readonly listSlowHeads: () => readonly string[];
  /** Requests of this process in progress, by model. */
  readonly demand: () => Readonly<Record<string, number>>;
  /** Requests of this process in progress or waiting, by organisation. */
  readonly tenantDemand: () => Readonly<Record<string, number>>;
  /** Requests and repeats of this process in its window, by service. */
  readonly retryTotals: () => Readonly<Record<string, WindowTotals>>;
  readonly hasTraffic: () => boolean;
  /** Time of the last answer of the store to this process. */
  readonly storeAnsweredAtMs: () => number;
  /** The configuration, which is told to other processes. */
  readonly config: RelayedTopic;
  /** The list of instances, likewise. */
  readonly instances: RelayedTopic;
  /** Instances that said that they leave, though the list has them as ready. */
  readonly listLeaving: () => readonly LeavingIncarnation[];
  /** Takes the status of instances that other processes have heard. */
  readonly onLeaving: (incarnations: readonly LeavingIncarnation[]) => void;
  readonly createDirector: (start: DirectorStart) => ReplicaController;
  /** 0 to 1. */
  readonly random: () => number;
  readonly record: RecordEvent;
}
