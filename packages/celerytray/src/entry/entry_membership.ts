import { Clock, Effect, type Scope } from "effect";
import { randomUUID } from "node:crypto";
import {
  type PeerOperations,
  probePeer,
  TrpcPeerTransport,
} from "../admin/index.ts";
import type { InstanceDirectory } from "../backends/index.ts";
import {
  CONFIG_SNAPSHOT_STREAM,
  type ConfigPosition,
  type ConfigStream,
  type ConfigUpdate,
  createConfigSnapshot,
  createConfigUpdate,
  runConfigSnapshotWriter,
} from "../config/index.ts";
import { createLogWriter, type LogService } from "../log/index.ts";
import {
  type ExchangedConfig,
  Membership,
  selectPreferred,
} from "../membership/index.ts";
import type { ResolvedEntrySettings, Secrets } from "../settings/index.ts";
import type { Timeline } from "../timeline/index.ts";

/** Options of an entry instance's membership. */
export interface EntryMembershipOptions {
  readonly settings: ResolvedEntrySettings;
  readonly secrets: Secrets;
  readonly log: LogService;
  readonly config: ConfigStream;
  readonly directory: InstanceDirectory;
  readonly timeline: Timeline;
}

/** Membership and the operations for peers. */
export interface EntryMembership {
  readonly membership: Membership;
  readonly peers: PeerOperations;
  readonly transport: TrpcPeerTransport;
}

/**
 * Joins the other entry instances and writes configuration snapshots to the
 * log.
 */
export function createEntryMembership(
  options: EntryMembershipOptions,
): Effect.Effect<EntryMembership, never, Scope.Scope> {
  const { settings, secrets, config, directory } = options;
  return Effect.gen(function* () {
    const transport = new TrpcPeerTransport({ secret: secrets.peerSecret });
    const membership = new Membership({
      self: {
        instanceId: settings.instanceId,
        adminAddress: settings.adminAddress,
      },
      transport,
      config: createExchangedConfig(config),
      listEntryInstances: () =>
        listOtherEntries(directory, settings.instanceId),
      random: Math.random,
      clock: options.timeline.clock,
      onMemberChange: ({ state, instanceId }, nowMs) =>
        options.timeline.record(`member.${state}`, { instanceId, nowMs }),
      intervalMs: settings.peerIntervalMs,
      isolationTimeoutMs: settings.isolationTimeoutMs,
    }, yield* Clock.currentTimeMillis);
    yield* membership.run();
    yield* startSnapshotWriter(options, membership);
    return {
      membership,
      transport,
      peers: {
        exchange: (message) => membership.answer(message),
        offerConfig: (update) => config.adopt(update),
        probe: (address) => probePeer(transport, address),
      },
    };
  });
}

/** Adapts the configuration stream to exchanges with peers. */
export function createExchangedConfig(config: ConfigStream): ExchangedConfig {
  return {
    version: () => config.current().version,
    nextOffset: config.nextOffset,
    lacksConfig: () => config.startProblem() !== undefined,
    logReadAtMs: config.readAtMs,
    adopt: config.adopt,
    confirm: config.confirm,
    createUpdate: (peer) => {
      if (config.startProblem() !== undefined) return undefined;
      const position = config.position();
      return createConfigUpdate(position, {
        sinceVersion: peer.configVersion,
        recordId: randomUUID(),
      }) ?? createOffsetUpdate(position, peer);
    },
  };
}

/**
 * Creates the update for a peer that has the version but can't read the log
 * from its offset.
 */
function createOffsetUpdate(
  position: ConfigPosition,
  peer: Parameters<ExchangedConfig["createUpdate"]>[0],
): ConfigUpdate | undefined {
  const { state, nextOffset } = position;
  const isNeeded = peer.lacksConfig === true && state.version > 0 &&
    state.version === peer.configVersion && nextOffset > peer.configNextOffset;
  if (!isNeeded) return undefined;
  return { nextOffset, snapshot: createConfigSnapshot(position, randomUUID()) };
}

function startSnapshotWriter(
  { settings, log, config }: EntryMembershipOptions,
  membership: Membership,
): Effect.Effect<void, never, Scope.Scope> {
  return Effect.gen(function* () {
    const writer = yield* createLogWriter({
      log,
      stream: CONFIG_SNAPSHOT_STREAM,
    });
    yield* runConfigSnapshotWriter({
      log,
      writer,
      position: config.position,
      isCurrent: () => config.startProblem() === undefined,
      isPreferred: () =>
        selectPreferred(CONFIG_SNAPSHOT_STREAM, membership.listLiveIds()) ===
          settings.instanceId,
      maxIntervalMs: settings.configSnapshotIntervalMs,
    });
  });
}

/** The other entry instances on the instance list. */
export function listOtherEntries(directory: InstanceDirectory, selfId: string) {
  return directory.all().flatMap((instance) => {
    const { role, state, instanceId, adminAddress } = instance;
    const isOther = role === "entry" && state === "live" &&
      instanceId !== selfId;
    return isOther && adminAddress !== undefined
      ? [{ instanceId, adminAddress }]
      : [];
  });
}
