import {
  decodeLeader,
  encodeLeader,
  type LeaderRecord,
} from "../groups/index.ts";
import type { KeyedRecord } from "../keyed_log/index.ts";

/**
 * Generation of the way in which this program leads. It rises whenever a leader
 * of an earlier version is to be replaced during an upgrade, as by one that
 * interrupts requests on evidence that no longer suffices.
 */
export const LEADER_GENERATION = 1;

/** The process that claimed to be the leader, and how it leads. */
export interface LeadingProcess extends LeaderRecord {
  /**
   * Generation of its way to lead; absent from earlier versions, and where a
   * process of an earlier version passed the record on.
   */
  readonly generation?: number;
}

/** Generation of a leader, 0 where it names none. */
export function generationOf({ generation }: LeadingProcess): number {
  return generation ?? 0;
}

/** Encodes the record of a leader, which earlier versions can read as well. */
export function encodeLeadingProcess(
  { generation, ...leader }: LeadingProcess,
): Buffer {
  const encoded = encodeLeader(leader);
  if (generation === undefined) return encoded;
  const fields = JSON.parse(encoded.toString("utf8")) as object;
  return Buffer.from(JSON.stringify({ ...fields, generation }));
}

/** Decodes the record of a leader; undefined if it is malformed. */
export function decodeLeadingProcess(
  { value, offset }: KeyedRecord,
): LeadingProcess | undefined {
  if (value === undefined) return undefined;
  const leader = decodeLeader({ value, offset }).toMaybe().extract();
  if (leader === undefined) return undefined;
  const { generation } = JSON.parse(value.toString("utf8")) as {
    readonly generation?: unknown;
  };
  const isValid = Number.isSafeInteger(generation) &&
    (generation as number) >= 0;
  return isValid ? { ...leader, generation: generation as number } : leader;
}
