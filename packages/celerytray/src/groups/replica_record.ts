import { type Either, Left, Right } from "purify-ts";
import { type LogPosition, offsetOf } from "../keyed_log/index.ts";

/** Record of a replica: the instances that are to serve a model. */
export interface ReplicaRecord {
  readonly name: string;
  readonly service: string;
  readonly model: string;
  /** Identifiers of the instances; the first is the head. */
  readonly members: readonly string[];
  /** Incarnations of the members when the record was stored, by identifier. */
  readonly incarnations: Readonly<Record<string, MemberIncarnation>>;
  /**
   * Log position after the record when it was first stored; later records have
   * higher epochs.
   */
  readonly epoch: LogPosition;
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
  /** Log position after the record when it was stored. */
  readonly term: LogPosition;
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

/** Encodes a replica's record, which is stored under the replica's name. */
export function encodeReplica(replica: Omit<ReplicaRecord, "name">): Buffer {
  const { service, model, members, incarnations, epoch } = replica;
  return Buffer.from(
    JSON.stringify({ service, model, members, incarnations, epoch }),
  );
}

/** Decodes a replica's record; Left describes what is malformed. */
export function decodeReplica(
  name: string,
  stored: StoredValue,
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
    // A record without its epoch is of a version that did not know of eras.
    const epoch = readPosition(record.epoch, stored) ??
      offsetOf(stored.offset) + 1;
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

/** Encodes a leader record. */
export function encodeLeader(leader: LeaderRecord): Buffer {
  const { nodeId, bootId, peerAddress, term } = leader;
  return Buffer.from(JSON.stringify({ nodeId, bootId, peerAddress, term }));
}

/** Decodes a leader record; Left describes what is malformed. */
export function decodeLeader(
  stored: StoredValue,
): Either<string, LeaderRecord> {
  return parse(stored.value).chain((record) => {
    const { nodeId, bootId, peerAddress } = record;
    const isValid = typeof nodeId === "string" && typeof bootId === "string" &&
      typeof peerAddress === "string";
    if (!isValid) return Left("Ignored malformed leader record");
    const term = readPosition(record.term, stored) ?? stored.offset + 1;
    return Right({ nodeId, bootId, peerAddress, term });
  });
}

/** A value of the log, and where it stands. */
interface StoredValue {
  readonly value: Buffer;
  readonly offset: LogPosition;
}

/**
 * Reads the position that a record names as its own. After the store came back
 * from an older copy, a record keeps the one at which it was first stored.
 */
function readPosition(
  input: unknown,
  { offset }: StoredValue,
): LogPosition | undefined {
  const isValid = Number.isSafeInteger(input) && (input as number) > 0 &&
    (input as number) <= offset + 1;
  return isValid ? input as number : undefined;
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
