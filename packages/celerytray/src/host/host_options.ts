import type { Effect } from "effect";
import type { Either } from "purify-ts";
import type { InstanceControl, InstanceState } from "../groups/index.ts";
import type { Journal } from "../journal/index.ts";
import type { KeyedLog } from "../keyed_log/index.ts";
import type { CallCodec, ServingConfig } from "../serving/index.ts";
import type { HostSettings } from "./host_settings.ts";

/** Adapters between the process and its platform. */
export interface HostPorts {
  readonly log: KeyedLog;
  readonly control: InstanceControl;
  readonly codec: CallCodec;
  readonly decodeConfig: (text: string) => Either<string, ServingConfig>;
  readonly decodeInstance: (
    id: string,
    text: string,
  ) => Either<string, InstanceState>;
  /** Key of the operator's configuration. */
  readonly configKey: string;
  /** Prefix of the keys of evacuated zones, in the configuration topic. */
  readonly evacuationPrefix: string;
  /**
   * Prefix of the keys by which the operator releases parts of prompts from
   * quarantine, in the configuration topic.
   */
  readonly releasePrefix: string;
}

/** Options of a process on a machine of the deployment. */
export interface HostOptions {
  readonly settings: HostSettings;
  readonly ports: HostPorts;
  readonly journal: Journal;
}

/** A running process. */
export interface Host {
  /**
   * Stops accepting connections and waits until all accepted requests are
   * answered.
   */
  readonly drain: () => Effect.Effect<void>;
}
