import { type Either, Left, Right } from "purify-ts";

/** A replica as it was decided: which instances are to serve which model. */
export interface ReplicaRecord {
  readonly name: string;
  readonly service: string;
  readonly model: string;
  /** The first is the head. */
  readonly members: readonly string[];
  /** Incarnations of the members when it was decided, by id. */
  readonly incarnations: Readonly<Record<string, MemberIncarnation>>;
  /** Place of the decision in the log; later decisions have higher ones. */
  readonly epoch: number;
}

/** One incarnation of an instance. */
export interface MemberIncarnation {
  /** IP:PORT. */
  readonly address: string;
  /** Start, as Unix time; undefined where it isn't told. */
  readonly bornAtMs?: number;
}

/** Which process decides on replicas. */
export interface LeaderRecord {
  readonly nodeId: string;
  /** Tells the incarnations of one process apart. */
  readonly bootId: string;
  /** IP:PORT for other processes. */
  readonly peerAddress: string;
  /** Place of the record in the log. */
  readonly term: number;
}

/** Key of the newest record of the process that decides. */
export const LEADER_KEY = "lead";

const REPLICA_PREFIX = "replica/";

/** Key of a replica's record. */
export function createReplicaKey(name: string): string {
  return `${REPLICA_PREFIX}${name}`;
}

/** The replica that a key names; undefined for other keys. */
export function parseReplicaKey(key: string): string | undefined {
  return key.startsWith(REPLICA_PREFIX)
    ? key.slice(REPLICA_PREFIX.length)
    : undefined;
}

/** A replica's record as bytes; its place in the log gives the epoch. */
export function encodeReplica(
  replica: Omit<ReplicaRecord, "name" | "epoch">,
): Buffer {
  const { service, model, members, incarnations } = replica;
  return Buffer.from(JSON.stringify({ service, model, members, incarnations }));
}

/** Reads a replica's record. */
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
    if (!isValid) return Left(`The record of replica ${name} is malformed`);
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

/** A process's claim to decide, as bytes. */
export function encodeLeader(lead: Omit<LeaderRecord, "term">): Buffer {
  const { nodeId, bootId, peerAddress } = lead;
  return Buffer.from(JSON.stringify({ nodeId, bootId, peerAddress }));
}

/** Reads which process decides. */
export function decodeLeader(
  stored: { readonly value: Buffer; readonly offset: number },
): Either<string, LeaderRecord> {
  return parse(stored.value).chain((record) => {
    const { nodeId, bootId, peerAddress } = record;
    const isValid = typeof nodeId === "string" && typeof bootId === "string" &&
      typeof peerAddress === "string";
    if (!isValid) return Left("The record of the lead is malformed");
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
