import type { KeyedChange } from "../keyed_log/index.ts";
import type { Either } from "purify-ts";
import type { InstanceState } from "./instance_state.ts";
import { type LeavingIncarnation, LeavingTracker } from "./leaving_tracker.ts";

interface Entry {
  /** As listed, but draining once its incarnation said that it leaves. */
  readonly state: InstanceState;
  readonly isListedReady: boolean;
  readonly offset: number;
}

/** Options of the view of the instance list. */
export interface InstanceListOptions {
  /** Decodes an entry; fails with what is wrong with it. */
  readonly decode: (id: string, text: string) => Either<string, InstanceState>;
  readonly onMalformed: (id: string, message: string) => void;
}

/** The instances as the list in the store and their own answers have them. */
export class InstanceListView {
  readonly #options: InstanceListOptions;
  readonly #entries = new Map<string, Entry>();
  /** Last states of instances that are no longer listed. */
  readonly #absent = new Map<string, AbsentInstance>();
  readonly #leaving = new LeavingTracker();
  #revision = 0;
  #isLoaded = false;

  constructor(options: InstanceListOptions) {
    this.#options = options;
  }

  /** Grows with each change. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether the list was read once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

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
      const newest = known?.offset ?? this.#absent.get(key)?.removedOffset;
      if (newest !== undefined && newest > offset) continue;
      if (value === undefined) this.#remove(key, { nowMs, offset });
      else this.#put(key, value, offset);
    }
    this.#isLoaded = true;
    this.#revision += 1;
  }

  /** Takes note that an instance said that it leaves; false if it is known. */
  noteLeaving(incarnation: LeavingIncarnation): boolean {
    if (!this.#leaving.note(incarnation)) return false;
    const entry = this.#entries.get(incarnation.instanceId);
    if (entry !== undefined) {
      this.#entries.set(incarnation.instanceId, {
        ...entry,
        state: this.#withOwnAnnouncement(entry.state),
      });
    }
    this.#revision += 1;
    return true;
  }

  /** Incarnations that said that they leave while the list still calls them ready. */
  listUnconfirmedLeaving(): readonly LeavingIncarnation[] {
    return this.#leaving.list().filter(({ instanceId, bornAtMs }) => {
      const entry = this.#entries.get(instanceId);
      return entry?.isListedReady === true && entry.state.bornAtMs === bornAtMs;
    });
  }

  find(id: string): InstanceState | undefined {
    return this.#entries.get(id)?.state;
  }

  /** Offset of the entry that an instance's state is from. */
  offsetOf(id: string): number | undefined {
    return this.#entries.get(id)?.offset;
  }

  /** The last state of an instance that is no longer listed. */
  findAbsent(id: string): AbsentInstance | undefined {
    return this.#absent.get(id);
  }

  list(): readonly InstanceState[] {
    return [...this.#entries.values()].map(({ state }) => state);
  }

  #put(id: string, value: Buffer, offset: number): void {
    this.#options.decode(id, value.toString("utf8")).caseOf({
      Left: (message) => this.#options.onMalformed(id, message),
      Right: (state) => {
        this.#entries.set(id, {
          state: this.#withOwnAnnouncement(state),
          isListedReady: !state.isDraining,
          offset,
        });
        this.#absent.delete(id);
      },
    });
  }

  /** A late entry of the list doesn't take an instance's own status back. */
  #withOwnAnnouncement(state: InstanceState): InstanceState {
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
    this.#absent.set(id, {
      state: entry.state,
      sinceMs: nowMs,
      removedOffset: offset ?? entry.offset,
    });
  }
}

/** An instance whose entry was removed. */
export interface AbsentInstance {
  readonly state: InstanceState;
  readonly sinceMs: number;
  /** Offset of the removal, or of the last entry before it. */
  readonly removedOffset: number;
}
