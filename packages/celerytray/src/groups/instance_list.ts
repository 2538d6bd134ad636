import type { KeyedChange } from "../keyed_log/index.ts";
import type { Either } from "purify-ts";
import type { InstanceState } from "./instance_state.ts";
import { type LeavingIncarnation, LeavingTracker } from "./leaving_tracker.ts";

interface Entry {
  /** As listed, but draining once the incarnation reports that it leaves. */
  readonly state: InstanceState;
  readonly isListedReady: boolean;
  readonly offset: number;
}

/** Options of an instance list view. */
export interface InstanceListOptions {
  /** Decodes an entry; Left describes what is malformed. */
  readonly decode: (id: string, text: string) => Either<string, InstanceState>;
  readonly onMalformed: (id: string, message: string) => void;
}

/** The instances according to the stored list and to their own answers. */
export class InstanceListView {
  readonly #options: InstanceListOptions;
  readonly #entries = new Map<string, Entry>();
  /** Last states of instances that were removed from the list. */
  readonly #removed = new Map<string, RemovedInstance>();
  readonly #leaving = new LeavingTracker();
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
  apply(
    change: Pick<KeyedChange, "isFullRead" | "records">,
    nowMs: number,
  ): void {
    if (change.isFullRead) {
      const listed = new Set(change.records.map(({ key }) => key));
      for (const id of [...this.#entries.keys()]) {
        if (!listed.has(id)) this.#remove(id, { nowMs });
      }
    }
    for (const { key, value, offset } of change.records) {
      const known = this.#entries.get(key);
      const newest = known?.offset ?? this.#removed.get(key)?.removedOffset;
      if (newest !== undefined && newest > offset) continue;
      if (value === undefined) this.#remove(key, { nowMs, offset });
      else this.#put(key, value, offset);
    }
    this.#isLoaded = true;
    this.#revision += 1;
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

  /** Log offset of the entry that an instance's state comes from. */
  offsetOf(id: string): number | undefined {
    return this.#entries.get(id)?.offset;
  }

  /** The last state of an instance that was removed from the list. */
  findRemoved(id: string): RemovedInstance | undefined {
    return this.#removed.get(id);
  }

  list(): readonly InstanceState[] {
    return [...this.#entries.values()].map(({ state }) => state);
  }

  #put(id: string, value: Buffer, offset: number): void {
    this.#options.decode(id, value.toString("utf8")).caseOf({
      Left: (message) => this.#options.onMalformed(id, message),
      Right: (state) => {
        this.#entries.set(id, {
          state: this.#withReportedLeaving(state),
          isListedReady: !state.isDraining,
          offset,
        });
        this.#removed.delete(id);
      },
    });
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
    { nowMs, offset }: { readonly nowMs: number; readonly offset?: number },
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

/** An instance whose entry was removed from the list. */
export interface RemovedInstance {
  readonly state: InstanceState;
  /** Time of the removal. */
  readonly sinceMs: number;
  /** Log offset of the removal, or of the last entry before it. */
  readonly removedOffset: number;
}
