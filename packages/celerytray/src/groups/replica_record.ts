import { type Either, Left, Right } from "purify-ts";

/** Record of a replica: the instances that are to serve a model. */
export interface ReplicaRecord {
  readonly name: string;
  readonly service: string;
  readonly model: string;
  /** Identifiers of the instances; the first is the head. */
  readonly members: readonly string[];
  /** Incarnations of the members when the record was stored, by identifier. */
  readonly incarnations: Readonly<Record<string, MemberIncarnation>>;
  /** Log offset after the record; later records have higher epochs. */
  readonly epoch: number;
}

/** One incarnation of an instance. */
export interface MemberIncarnation {
  /** IP:PORT. */
  readonly address: string;
  /** Start time, Unix time; undefined if the instance does not report it. */
  readonly bornAtMs?: number;
}

/** The process that claimed to be the leader. */
export interface LeaderRecord {
  readonly nodeId: string;
  /** Distinguishes incarnations of the same process. */
  readonly bootId: string;
  /** IP:PORT at which other processes reach it. */
  readonly peerAddress: string;
  /** Log offset after the record. */
  readonly term: number;
}

/** Key of the leader record. */
export const LEADER_KEY = "lead";

const REPLICA_PREFIX = "replica/";

/** Key of a replica's record. */
export function createReplicaKey(name: string): string {
  return `${REPLICA_PREFIX}${name}`;
}

/** Name of the replica that a key stands for; undefined for other keys. */
export function parseReplicaKey(key: string): string | undefined {
  return key.startsWith(REPLICA_PREFIX)
    ? key.slice(REPLICA_PREFIX.length)
    : undefined;
}

/** Encodes a replica's record; its offset in the log gives the epoch. */
export function encodeReplica(
  replica: Omit<ReplicaRecord, "name" | "epoch">,
): Buffer {
  const { service, model, members, incarnations } = replica;
  return Buffer.from(JSON.stringify({ service, model, members, incarnations }));
}

/** Decodes a replica's record; Left describes what is malformed. */
export function decodeReplica(
  name: string,
  stored: { readonly value: Buffer; readonly offset: number },
): Either<string, ReplicaRecord> {
  return parse(stored.value).chain((record) => {
    const { service, model, members } = record;
    const incarnations = record.incarnations as
      | ReplicaRecord["incarnations"]
      | undefined;
    const isValid = typeof service === "string" && typeof model === "string" &&
      Array.isArray(members) && members.length > 0 &&
      members.every((member) =>
        typeof member === "string" &&
        typeof incarnations?.[member]?.address === "string"
      );
    if (!isValid) return Left(`Ignored malformed record of replica ${name}`);
    const epoch = stored.offset + 1;
    return Right({
      name,
      service,
      model,
      members,
      incarnations: incarnations!,
      epoch,
    });
  });
}

/** Encodes a leader record; its offset in the log gives the term. */
export function encodeLeader(leader: Omit<LeaderRecord, "term">): Buffer {
  const { nodeId, bootId, peerAddress } = leader;
  return Buffer.from(JSON.stringify({ nodeId, bootId, peerAddress }));
}

/** Decodes a leader record; Left describes what is malformed. */
export function decodeLeader(
  stored: { readonly value: Buffer; readonly offset: number },
): Either<string, LeaderRecord> {
  return parse(stored.value).chain((record) => {
    const { nodeId, bootId, peerAddress } = record;
    const isValid = typeof nodeId === "string" && typeof bootId === "string" &&
      typeof peerAddress === "string";
    if (!isValid) return Left("Ignored malformed leader record");
    return Right({ nodeId, bootId, peerAddress, term: stored.offset + 1 });
  });
}

function parse(value: Buffer): Either<string, Record<string, unknown>> {
  try {
    const record: unknown = JSON.parse(value.toString("utf8"));
    return typeof record === "object" && record !== null
      ? Right(record as Record<string, unknown>)
      : Left("The record is not an object");
  } catch (error) {
    return Left(`The record is not JSON: ${(error as Error).message}`);
  }
}
