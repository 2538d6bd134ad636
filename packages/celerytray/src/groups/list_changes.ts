import type { KeyedChange, LogPosition } from "../keyed_log/index.ts";
import type { InstanceState } from "./instance_state.ts";

/** A change of the list, and the start of its era if it is known. */
export type ListChange = Pick<
  KeyedChange,
  "isFullRead" | "records" | "nextOffset" | "eraStart"
>;

/** The list as it is first known in a later era of the store. */
export interface ReturnedList {
  readonly era: number;
  /** Position up to which it is known. */
  readonly readTo: LogPosition;
  /** Whether it was read from the store, rather than passed on by a process. */
  readonly isFullRead: boolean;
  /** Number of entries and deletions that may be older than what is known. */
  readonly withheld: number;
  /** Number of known instances that the list lacks. */
  readonly missing: number;
}

/** What the list is believed of once instances have had time to write anew. */
export interface SettledList {
  /** Number of instances that the list still lacked. */
  readonly removed: number;
  /** Number of entries and deletions that had been withheld. */
  readonly believed: number;
}

/** An instance whose entry was removed from the list. */
export interface RemovedInstance {
  readonly state: InstanceState;
  /** Time of the removal. */
  readonly sinceMs: number;
  /** Log position of the removal, or of the last entry before it. */
  readonly removedOffset: LogPosition;
}
