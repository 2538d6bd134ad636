import {
  eraOf,
  type EraStart,
  type KeyedRecord,
  type LogPosition,
} from "../keyed_log/index.ts";
import type { Either } from "purify-ts";
import { DoubtedRecords } from "./doubted_records.ts";
import { type InstanceState, isCertainlyNewer } from "./instance_state.ts";
import { type LeavingIncarnation, LeavingTracker } from "./leaving_tracker.ts";
import type {
  ListChange,
  RemovedInstance,
  ReturnedList,
  SettledList,
} from "./list_changes.ts";
import { StoreReturn } from "./store_return.ts";

interface Entry {
  /** As listed, but draining once the incarnation reports that it leaves. */
  readonly state: InstanceState;
  readonly isListedReady: boolean;
  readonly offset: LogPosition;
}

/** Options of an instance list view. */
export interface InstanceListOptions {
  /** Decodes an entry; Left describes what is malformed. */
  readonly decode: (id: string, text: string) => Either<string, InstanceState>;
  readonly onMalformed: (id: string, message: string) => void;
  /** Called when the list is first known in a later era of the store. */
  readonly onReturned?: (returned: ReturnedList) => void;
  /** Called when what was held back after that is believed. */
  readonly onSettled?: (settled: SettledList) => void;
}

/** The instances according to the stored list and to their own answers. */
export class InstanceListView {
  readonly #options: InstanceListOptions;
  readonly #entries = new Map<string, Entry>();
  /** Last states of instances that were removed from the list. */
  readonly #removed = new Map<string, RemovedInstance>();
  readonly #leaving = new LeavingTracker();
  readonly #storeReturn = new StoreReturn();
  readonly #doubted = new DoubtedRecords();
  #revision = 0;
  #isLoaded = false;

  constructor(options: InstanceListOptions) {
    this.#options = options;
  }

  /** Increases with each change. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether the list has been read at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Applies a change of the list; ignores entries older than known ones. */
  apply(change: ListChange, nowMs: number): void {
    const { isFullRead, nextOffset: readTo, eraStart } = change;
    const hasReturned = this.noteEraStart(
      eraStart ?? { copyEnd: readTo, returnedAtMs: nowMs },
      nowMs,
    );
    if (isFullRead) this.#removeUnlisted(change.records, nowMs);
    for (const record of change.records) this.#applyRecord(record, nowMs);
    this.#isLoaded = true;
    this.#revision += 1;
    if (hasReturned) {
      this.#options.onReturned?.({
        era: eraOf(readTo),
        readTo,
        isFullRead,
        withheld: this.#doubted.withheldCount,
        missing: this.#doubted.missingCount,
      });
    }
    this.settle(nowMs);
  }

  /** Start of the store's era; undefined if it has never come back. */
  get eraStart(): EraStart | undefined {
    return this.#storeReturn.eraStart;
  }

  /**
   * Notes what is known of the start of an era, and believes what turns out to
   * be written since; true if the era is later than all before.
   */
  noteEraStart(start: EraStart, nowMs: number): boolean {
    const hasReturned = this.#storeReturn.note(start);
    if (hasReturned) {
      // All that an earlier era left open comes anew with this one's list.
      this.#doubted.clear();
    } else {
      this.#believeWithheld(
        ({ offset }) => !this.#storeReturn.mayBeCopied(offset),
        nowMs,
      );
    }
    return hasReturned;
  }

  /**
   * Believes the store again once instances have had the time to write their
   * lost entries anew.
   */
  settle(nowMs: number): void {
    const settled: SettledList = {
      removed: this.#doubted.missingCount,
      believed: this.#doubted.withheldCount,
    };
    const count = settled.removed + settled.believed;
    if (count === 0 || !this.#storeReturn.hasSettled(nowMs)) return;
    for (const id of this.#doubted.takeMissing()) this.#remove(id, { nowMs });
    this.#believeWithheld(() => true, nowMs);
    this.#revision += 1;
    this.#options.onSettled?.(settled);
  }

  #believeWithheld(
    isBelieved: (record: KeyedRecord) => boolean,
    nowMs: number,
  ): void {
    for (
      const { key, value, offset } of this.#doubted.takeWithheld(isBelieved)
    ) {
      if (value === undefined) this.#remove(key, { nowMs, offset });
      else this.#put(key, value, { offset });
      this.#revision += 1;
    }
  }

  /**
   * Whether an instance's entry says what is so now. One that may come from a
   * store's older copy may not, until the instance has had time to write it
   * anew.
   */
  isSettled(id: string, nowMs: number): boolean {
    const entry = this.#entries.get(id);
    return entry !== undefined &&
      (!this.#storeReturn.mayBeCopied(entry.offset) ||
        this.#storeReturn.hasSettled(nowMs));
  }

  #removeUnlisted(records: readonly KeyedRecord[], nowMs: number): void {
    const listed = new Set(records.map(({ key }) => key));
    this.#doubted.keepOnly(listed);
    for (const [id, { offset }] of [...this.#entries]) {
      if (listed.has(id)) continue;
      if (this.#storeReturn.isOfEarlierEra(offset)) {
        this.#doubted.noteMissing(id);
      } else this.#remove(id, { nowMs });
    }
  }

  #applyRecord({ key, value, offset }: KeyedRecord, nowMs: number): void {
    const known = this.#entries.get(key);
    const removed = this.#removed.get(key);
    const newest = known?.offset ?? removed?.removedOffset;
    if (newest !== undefined && newest > offset) return;
    this.#doubted.forget(key);
    const isOfCopy = newest !== undefined &&
      this.#storeReturn.isOfEarlierEra(newest) &&
      this.#storeReturn.mayBeCopied(offset);
    if (value === undefined) {
      if (isOfCopy) this.#doubted.withhold({ key, offset });
      else this.#remove(key, { nowMs, offset });
      return;
    }
    const last = known?.state ?? removed?.state;
    this.#put(key, value, {
      offset,
      ...(isOfCopy && last !== undefined ? { last } : {}),
    });
  }

  /** Notes that an instance reports that it leaves; false if already known. */
  noteLeaving(incarnation: LeavingIncarnation): boolean {
    if (!this.#leaving.note(incarnation)) return false;
    const entry = this.#entries.get(incarnation.instanceId);
    if (entry !== undefined) {
      this.#entries.set(incarnation.instanceId, {
        ...entry,
        state: this.#withReportedLeaving(entry.state),
      });
    }
    this.#revision += 1;
    return true;
  }

  /** Incarnations that report that they leave but are still listed as ready. */
  listUnconfirmedLeaving(): readonly LeavingIncarnation[] {
    return this.#leaving.list().filter(({ instanceId, bornAtMs }) => {
      const entry = this.#entries.get(instanceId);
      return entry?.isListedReady === true && entry.state.bornAtMs === bornAtMs;
    });
  }

  find(id: string): InstanceState | undefined {
    return this.#entries.get(id)?.state;
  }

  /** Log position of the entry that an instance's state comes from. */
  offsetOf(id: string): LogPosition | undefined {
    return this.#entries.get(id)?.offset;
  }

  /** The last state of an instance that was removed from the list. */
  findRemoved(id: string): RemovedInstance | undefined {
    return this.#removed.get(id);
  }

  list(): readonly InstanceState[] {
    return [...this.#entries.values()].map(({ state }) => state);
  }

  /**
   * Puts an entry in the list. An entry that may come from a store's older copy
   * counts only if it says more than the last known state, or once the store is
   * to be believed again. That it drains counts at once.
   */
  #put(
    id: string,
    value: Buffer,
    { offset, last }: {
      readonly offset: LogPosition;
      readonly last?: InstanceState;
    },
  ): void {
    this.#options.decode(id, value.toString("utf8")).caseOf({
      Left: (message) => this.#options.onMalformed(id, message),
      Right: (state) => {
        this.#noteListedLeaving(state);
        if (last !== undefined && !isCertainlyNewer(state, last)) {
          this.#doubted.withhold({ key: id, value, offset });
          this.#noteWithheld(state);
          return;
        }
        this.#entries.set(id, {
          state: this.#withReportedLeaving(state),
          isListedReady: !state.isDraining,
          offset,
        });
        this.#removed.delete(id);
      },
    });
  }

  /**
   * Notes what holds of a withheld entry, whether it is of the copy or not: an
   * incarnation that drains never serves again. That the copy still lists one
   * as ready is kept, so that processes that know only the copy are told.
   */
  #noteWithheld({ id, bornAtMs, isDraining }: InstanceState): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    const { state } = entry;
    const hasDrained = isDraining && state.bornAtMs === bornAtMs;
    this.#entries.set(id, {
      ...entry,
      state: hasDrained ? { ...state, isDraining: true } : state,
      isListedReady: !isDraining,
    });
  }

  /** Keeps a departure that a store's older copy may lack. */
  #noteListedLeaving({ id, bornAtMs, isDraining }: InstanceState): void {
    if (!isDraining || bornAtMs === undefined) return;
    this.#leaving.note({ instanceId: id, bornAtMs });
  }

  /** Keeps the reported departure when a late entry still says ready. */
  #withReportedLeaving(state: InstanceState): InstanceState {
    if (state.isDraining) return state;
    return this.#leaving.isLeaving(state.id, state.bornAtMs)
      ? { ...state, isDraining: true }
      : state;
  }

  #remove(
    id: string,
    { nowMs, offset }: {
      readonly nowMs: number;
      readonly offset?: LogPosition;
    },
  ): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#entries.delete(id);
    this.#removed.set(id, {
      state: entry.state,
      sinceMs: nowMs,
      removedOffset: offset ?? entry.offset,
    });
  }
}
