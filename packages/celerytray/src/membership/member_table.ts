import {
  compareUpdates,
  type MemberState,
  type MemberUpdate,
} from "./member_update.ts";

/** One entry instance as another one sees it. */
export interface Member extends MemberUpdate {
  /** Time at which this instance recorded the current state. */
  readonly sinceMs: number;
  /** Time of the last exchange with this instance. */
  readonly lastContactAtMs: number | undefined;
}

/** Options of a member table. */
export interface MemberTableOptions {
  readonly self: Pick<MemberUpdate, "instanceId" | "adminAddress">;
  /** Time after which a suspected member counts as gone. */
  readonly suspicionMs: number;
  /** Time after which a member that is gone is removed. */
  readonly forgetMs: number;
  /** Usual time between two calls of `tick`. */
  readonly intervalMs: number;
  /** Called for each change of a member's state. */
  readonly onChange?: (update: MemberUpdate, nowMs: number) => void;
  /** First incarnation; it must be higher than those before a restart. */
  readonly startedAtMs: number;
}

/** Times that an update is sent, per doubling of the number of members. */
const SENDS_PER_DOUBLING = 3;
/** A gap of more intervals between two ticks counts as a pause of the process. */
const PAUSE_INTERVALS = 3;

/**
 * Liveness of the entry instances: failure detection by suspicion and
 * incarnations, as in SWIM (Das et al., 2002). Reads no clock and sends nothing;
 * callers pass times and send the updates.
 */
export class MemberTable {
  readonly #options: MemberTableOptions;
  readonly #members = new Map<string, Member>();
  readonly #sendsLeft = new Map<string, number>();
  #incarnation: number;
  #selfState: MemberState = "alive";
  #order: string[] = [];
  #listed: ReadonlySet<string> = new Set();
  #tickedAtMs: number | undefined;

  constructor(options: MemberTableOptions) {
    this.#options = options;
    this.#incarnation = options.startedAtMs;
  }

  /** The state of this instance that it sends to others. */
  get self(): MemberUpdate {
    return {
      ...this.#options.self,
      incarnation: this.#incarnation,
      state: this.#selfState,
    };
  }

  /** All other known members, including those that are gone. */
  get members(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Other members that are alive or suspected. */
  get present(): readonly Member[] {
    return this.members.filter(({ state }) =>
      state === "alive" || state === "suspect"
    );
  }

  /** Sorted identifiers of the members that may be given work. */
  listLiveIds(): string[] {
    const others = this.present.map(({ instanceId }) => instanceId);
    return this.#selfState === "alive"
      ? [this.#options.self.instanceId, ...others].toSorted()
      : others.toSorted();
  }

  /** Adds members from the instance list. It lags, so it removes none. */
  noteListed(
    listed: readonly Pick<MemberUpdate, "instanceId" | "adminAddress">[],
    nowMs: number,
  ): void {
    this.#listed = new Set(listed.map(({ instanceId }) => instanceId));
    for (const { instanceId, adminAddress } of listed) {
      if (this.#isSelf(instanceId) || this.#members.has(instanceId)) continue;
      this.#put({ instanceId, adminAddress, incarnation: 0, state: "alive" }, {
        nowMs,
        isChange: false,
      });
    }
  }

  /** Applies updates from another instance. */
  merge(updates: readonly MemberUpdate[], nowMs: number): void {
    for (const update of updates) {
      if (this.#isSelf(update.instanceId)) this.#refute(update);
      else this.#mergeOther(update, nowMs);
    }
  }

  /** Records a completed exchange with a member. */
  recordContact(update: MemberUpdate, nowMs: number): void {
    if (this.#isSelf(update.instanceId)) return;
    this.#mergeOther(update, nowMs);
    const member = this.#members.get(update.instanceId);
    if (member === undefined) return;
    this.#members.set(update.instanceId, { ...member, lastContactAtMs: nowMs });
  }

  /** Suspects a member that neither this instance nor the asked peers reach. */
  noteUnreachable(instanceId: string, nowMs: number): void {
    const member = this.#members.get(instanceId);
    if (member?.state !== "alive") return;
    this.#put({ ...toUpdate(member), state: "suspect" }, {
      nowMs,
      isChange: true,
    });
  }

  /**
   * Declares members gone whose suspicion has timed out, and removes members
   * that were gone for long. After a pause of this process, the time of each
   * suspicion starts again.
   */
  tick(nowMs: number): void {
    const { suspicionMs, forgetMs, intervalMs } = this.#options;
    const sinceTickMs = nowMs - (this.#tickedAtMs ?? nowMs);
    const isAfterPause = sinceTickMs > PAUSE_INTERVALS * intervalMs;
    this.#tickedAtMs = nowMs;
    for (const member of this.members) {
      const ageMs = nowMs - member.sinceMs;
      if (member.state === "suspect" && isAfterPause) {
        this.#members.set(member.instanceId, { ...member, sinceMs: nowMs });
      } else if (member.state === "suspect" && ageMs >= suspicionMs) {
        this.#put({ ...toUpdate(member), state: "gone" }, {
          nowMs,
          isChange: true,
        });
      } else if (this.#mayForget(member) && ageMs >= forgetMs) {
        this.#members.delete(member.instanceId);
        this.#sendsLeft.delete(member.instanceId);
      }
    }
  }

  /** Marks this instance as having left, for the next messages. */
  leave(): void {
    this.#selfState = "left";
    this.#incarnation += 1;
  }

  /**
   * The member to exchange with next: each once per round, in random order.
   * Members that are gone are included while the instance list names them.
   */
  nextPeer(random: () => number): Member | undefined {
    while (true) {
      if (this.#order.length === 0) {
        this.#order = shuffle(this.#listCandidates(), random);
        if (this.#order.length === 0) return undefined;
      }
      const member = this.#members.get(this.#order.pop()!);
      if (member !== undefined && member.state !== "left") return member;
    }
  }

  /**
   * The update that suspects a member or declares it gone, to be sent to that
   * member so that it can refute it; undefined if it is alive.
   */
  findSuspicion(instanceId: string): MemberUpdate | undefined {
    const member = this.#members.get(instanceId);
    if (member === undefined || member.state === "alive") return undefined;
    return toUpdate(member);
  }

  /** Takes up to `maxCount` updates that others may not know yet. */
  takeUpdates(maxCount: number): MemberUpdate[] {
    const pending = [...this.#sendsLeft].toSorted(([, a], [, b]) => b - a)
      .slice(0, maxCount);
    for (const [instanceId, left] of pending) {
      if (left <= 1) this.#sendsLeft.delete(instanceId);
      else this.#sendsLeft.set(instanceId, left - 1);
    }
    return pending.flatMap(([instanceId]) => {
      const member = this.#members.get(instanceId);
      return member === undefined ? [] : [toUpdate(member)];
    });
  }

  #listCandidates(): string[] {
    return this.members.filter((member) =>
      isPresent(member) ||
      member.state === "gone" && this.#listed.has(member.instanceId)
    ).map(({ instanceId }) => instanceId);
  }

  #mayForget(member: Member): boolean {
    return !isPresent(member) && !this.#listed.has(member.instanceId);
  }

  #isSelf(instanceId: string): boolean {
    return instanceId === this.#options.self.instanceId;
  }

  /** Refutes a suspicion of this instance with a higher incarnation. */
  #refute(update: MemberUpdate): void {
    if (update.state === "alive" || this.#selfState === "left") return;
    if (update.incarnation < this.#incarnation) return;
    this.#incarnation = update.incarnation + 1;
  }

  #mergeOther(update: MemberUpdate, nowMs: number): void {
    const known = this.#members.get(update.instanceId);
    if (known === undefined && !isPresent(update)) return;
    if (known !== undefined && compareUpdates(update, known) <= 0) return;
    const isChange = known === undefined || known.state !== update.state ||
      known.adminAddress !== update.adminAddress;
    this.#put(update, { nowMs, isChange });
  }

  #put(
    update: MemberUpdate,
    options: { readonly nowMs: number; readonly isChange: boolean },
  ): void {
    const { instanceId } = update;
    const lastContactAtMs = this.#members.get(instanceId)?.lastContactAtMs;
    const sinceMs = options.nowMs;
    this.#members.set(instanceId, { ...update, sinceMs, lastContactAtMs });
    if (!options.isChange) return;
    this.#options.onChange?.(update, sinceMs);
    const doublings = Math.ceil(Math.log2(this.#members.size + 2));
    this.#sendsLeft.set(instanceId, SENDS_PER_DOUBLING * doublings);
  }
}

function isPresent({ state }: MemberUpdate): boolean {
  return state === "alive" || state === "suspect";
}

function toUpdate(member: MemberUpdate): MemberUpdate {
  const { instanceId, adminAddress, incarnation, state } = member;
  return { instanceId, adminAddress, incarnation, state };
}

function shuffle(ids: string[], random: () => number): string[] {
  for (let index = ids.length - 1; index > 0; index--) {
    const other = Math.floor(random() * (index + 1));
    [ids[index], ids[other]] = [ids[other]!, ids[index]!];
  }
  return ids;
}
