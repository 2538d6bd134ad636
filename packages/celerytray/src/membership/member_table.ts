import {
  compareUpdates,
  type MemberState,
  type MemberUpdate,
} from "./member_update.ts";

/** One entry instance as another one sees it. */
export interface Member extends MemberUpdate {
  /** When this view of its state began. */
  readonly sinceMs: number;
  /** When it last took part in an exchange with this instance. */
  readonly heardAtMs: number | undefined;
}

/** Options of a table. */
export interface MemberTableOptions {
  readonly self: Pick<MemberUpdate, "instanceId" | "adminAddress">;
  /** Time of suspicion after which a member counts as gone. */
  readonly suspicionMs: number;
  /** Time after which a member that is gone is forgotten. */
  readonly forgetMs: number;
  /** Usual time between two calls of `tick`. */
  readonly intervalMs: number;
  /** Makes the first incarnation higher than those of earlier lives. */
  readonly startedAtMs: number;
}

/** Times an update travels, per doubling of the number of members. */
const SENDS_PER_DOUBLING = 3;
/** Intervals between two ticks above which this process counts as paused. */
const PAUSE_INTERVALS = 3;

/**
 * Who of the entry instances lives: failure suspicion with incarnations, as
 * in SWIM (Das et al., 2002). Holds no clock and sends nothing.
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

  /** This instance, as it describes itself. */
  get self(): MemberUpdate {
    return {
      ...this.#options.self,
      incarnation: this.#incarnation,
      state: this.#selfState,
    };
  }

  /** All others known, those gone included. */
  get members(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Others that count as there. */
  get present(): readonly Member[] {
    return this.members.filter(({ state }) =>
      state === "alive" || state === "suspect"
    );
  }

  /** Identifiers of those who may be given work, this one included. */
  listLiveIds(): string[] {
    const others = this.present.map(({ instanceId }) => instanceId);
    return this.#selfState === "alive"
      ? [this.#options.self.instanceId, ...others].toSorted()
      : others.toSorted();
  }

  /** Learns of members from the instance list, which lags: adds only. */
  noteListed(
    listed: readonly Pick<MemberUpdate, "instanceId" | "adminAddress">[],
    nowMs: number,
  ): void {
    this.#listed = new Set(listed.map(({ instanceId }) => instanceId));
    for (const { instanceId, adminAddress } of listed) {
      if (this.#isSelf(instanceId) || this.#members.has(instanceId)) continue;
      this.#put({ instanceId, adminAddress, incarnation: 0, state: "alive" }, {
        nowMs,
        isNews: false,
      });
    }
  }

  /** Applies what another instance says of members. */
  merge(updates: readonly MemberUpdate[], nowMs: number): void {
    for (const update of updates) {
      if (this.#isSelf(update.instanceId)) this.#refute(update);
      else this.#mergeOther(update, nowMs);
    }
  }

  /** Takes note of an exchange with a member that took place. */
  noteHeard(update: MemberUpdate, nowMs: number): void {
    if (this.#isSelf(update.instanceId)) return;
    this.#mergeOther(update, nowMs);
    const member = this.#members.get(update.instanceId);
    if (member === undefined) return;
    this.#members.set(update.instanceId, { ...member, heardAtMs: nowMs });
  }

  /** Takes note that neither this instance nor those asked reach a member. */
  noteUnreachable(instanceId: string, nowMs: number): void {
    const member = this.#members.get(instanceId);
    if (member?.state !== "alive") return;
    this.#put({ ...toUpdate(member), state: "suspect" }, {
      nowMs,
      isNews: true,
    });
  }

  /** Ends suspicions that lasted; those that ran during a pause start anew. */
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
          isNews: true,
        });
      } else if (this.#mayForget(member) && ageMs >= forgetMs) {
        this.#members.delete(member.instanceId);
        this.#sendsLeft.delete(member.instanceId);
      }
    }
  }

  /** Tells all others that this instance leaves. */
  leave(): void {
    this.#selfState = "left";
    this.#incarnation += 1;
  }

  /**
   * The member to exchange with next: each once, in an order that changes.
   * Those gone are tried too while the instance list names them.
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

  /** What a member must hear of itself to be able to refute it. */
  findDoubt(instanceId: string): MemberUpdate | undefined {
    const member = this.#members.get(instanceId);
    if (member === undefined || member.state === "alive") return undefined;
    return toUpdate(member);
  }

  /** Up to a number of updates that others may not know yet. */
  takeUpdates(maxCount: number): MemberUpdate[] {
    const waiting = [...this.#sendsLeft].toSorted(([, a], [, b]) => b - a)
      .slice(0, maxCount);
    for (const [instanceId, left] of waiting) {
      if (left <= 1) this.#sendsLeft.delete(instanceId);
      else this.#sendsLeft.set(instanceId, left - 1);
    }
    return waiting.flatMap(([instanceId]) => {
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

  /** Answers a suspicion against this instance with a higher incarnation. */
  #refute(update: MemberUpdate): void {
    if (update.state === "alive" || this.#selfState === "left") return;
    if (update.incarnation < this.#incarnation) return;
    this.#incarnation = update.incarnation + 1;
  }

  #mergeOther(update: MemberUpdate, nowMs: number): void {
    const known = this.#members.get(update.instanceId);
    if (known === undefined && !isPresent(update)) return;
    if (known !== undefined && compareUpdates(update, known) <= 0) return;
    const isNews = known === undefined || known.state !== update.state ||
      known.adminAddress !== update.adminAddress;
    this.#put(update, { nowMs, isNews });
  }

  #put(
    update: MemberUpdate,
    options: { readonly nowMs: number; readonly isNews: boolean },
  ): void {
    const { instanceId } = update;
    const heardAtMs = this.#members.get(instanceId)?.heardAtMs;
    const sinceMs = options.nowMs;
    this.#members.set(instanceId, { ...update, sinceMs, heardAtMs });
    if (!options.isNews) return;
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
