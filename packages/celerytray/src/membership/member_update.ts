/** What is said of an entry instance. */
export type MemberState = "alive" | "suspect" | "gone" | "left";

/** A statement on one entry instance, which travels with exchanges. */
export interface MemberUpdate {
  readonly instanceId: string;
  /** IP:PORT of its trpc server. */
  readonly adminAddress: string;
  /** Raised by the instance itself only. */
  readonly incarnation: number;
  readonly state: MemberState;
}

const RANK_BY_STATE: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  gone: 2,
  left: 3,
};

/** Above 0 if the first statement on an instance overrides the second. */
export function compareUpdates(a: MemberUpdate, b: MemberUpdate): number {
  return a.incarnation - b.incarnation ||
    RANK_BY_STATE[a.state] - RANK_BY_STATE[b.state];
}
