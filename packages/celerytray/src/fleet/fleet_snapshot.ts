import { HashMap } from "effect";
import type { SnapshotCodec } from "../log/index.ts";
import {
  emptyFleetState,
  type FleetState,
  type Replica,
} from "./fold_fleet_record.ts";

/** Encodes the fleet's state as JSON; members are stored with their replica. */
export const fleetSnapshotCodec: SnapshotCodec<FleetState> = {
  encode: ({ offset, replicas }) => ({
    version: SNAPSHOT_VERSION,
    offset,
    replicas: [...HashMap.values(replicas)],
  }),
  decode: (content) => isSnapshot(content) ? decode(content) : undefined,
};

const SNAPSHOT_VERSION = 1;

interface FleetSnapshot {
  readonly version: number;
  readonly offset: number;
  readonly replicas: readonly Replica[];
}

function isSnapshot(content: unknown): content is FleetSnapshot {
  const snapshot = content as Partial<FleetSnapshot> | undefined;
  return snapshot?.version === SNAPSHOT_VERSION &&
    typeof snapshot.offset === "number" && Array.isArray(snapshot.replicas);
}

function decode({ offset, replicas }: FleetSnapshot): FleetState {
  const members = replicas.flatMap(({ replicaId, members }) =>
    members.map((member): [string, string] => [member, replicaId])
  );
  return {
    ...emptyFleetState(),
    offset,
    replicas: HashMap.fromIterable(
      replicas.map((replica): [string, Replica] => [
        replica.replicaId,
        replica,
      ]),
    ),
    replicaIdByMember: HashMap.fromIterable(members),
  };
}
