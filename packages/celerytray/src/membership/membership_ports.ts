import type { Effect } from "effect";
import type { ConfigUpdate } from "../config/index.ts";
import type { HybridClock } from "../timeline/index.ts";
import type { ExchangeAnswer, ExchangeMessage } from "./exchange.ts";
import type { MemberTableOptions } from "./member_table.ts";
import type { MemberUpdate } from "./member_update.ts";

/** A peer could not be reached, or did not answer in time. */
export interface PeerFailure {
  readonly message: string;
}

/** Calls to other entry instances. */
export interface PeerTransport {
  exchange(
    address: string,
    message: ExchangeMessage,
  ): Effect.Effect<ExchangeAnswer, PeerFailure>;
  /** Whether a peer answers. */
  ping(address: string): Effect.Effect<boolean, PeerFailure>;
  /** Sends a configuration update to a peer that lags. */
  offerConfig(
    address: string,
    update: ConfigUpdate,
  ): Effect.Effect<void, PeerFailure>;
  /** Asks a peer whether it reaches another one. */
  probe(
    address: string,
    targetAddress: string,
  ): Effect.Effect<boolean, PeerFailure>;
}

/** Access to the configuration for exchanges. */
export interface ExchangedConfig {
  readonly version: () => number;
  readonly nextOffset: () => number;
  readonly lacksConfig: () => boolean;
  readonly logReadAtMs: () => number | undefined;
  /**
   * The update that a peer lacks; undefined if it lacks none, or if this
   * instance has no confirmed configuration itself.
   */
  readonly createUpdate: (
    peer: Pick<
      ExchangeMessage,
      "configVersion" | "configNextOffset" | "lacksConfig"
    >,
  ) => ConfigUpdate | undefined;
  readonly adopt: (update: ConfigUpdate) => Effect.Effect<boolean>;
  /** Called once most peers have answered and none has a higher version. */
  readonly confirm: () => void;
}

/** Options of membership. */
export interface MembershipOptions {
  readonly self: Pick<MemberUpdate, "instanceId" | "adminAddress">;
  readonly transport: PeerTransport;
  readonly config: ExchangedConfig;
  /** Other entry instances on the instance list. */
  readonly listEntryInstances: () => readonly Pick<
    MemberUpdate,
    "instanceId" | "adminAddress"
  >[];
  readonly random: () => number;
  /** Hybrid clock of the timeline, synchronised with the peers'. */
  readonly clock?: HybridClock;
  /** Called for each change of a member's state. */
  readonly onMemberChange?: MemberTableOptions["onChange"];
  readonly intervalMs: number;
  readonly isolationTimeoutMs: number;
}
