/** State of an entry instance; `left` means that it shut down deliberately. */
export type MemberState = "alive" | "suspect" | "gone" | "left";

/** An update on the state of one entry instance, sent in exchanges. */
export interface MemberUpdate {
  readonly instanceId: string;
  /** IP:PORT of its trpc server. */
  readonly adminAddress: string;
  /** Version of the state; only the instance itself increases it. */
  readonly incarnation: number;
  readonly state: MemberState;
}

const RANK_BY_STATE: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  gone: 2,
  left: 3,
};

/** Positive if the first update on an instance overrides the second. */
export function compareUpdates(a: MemberUpdate, b: MemberUpdate): number {
  return a.incarnation - b.incarnation ||
    RANK_BY_STATE[a.state] - RANK_BY_STATE[b.state];
}
