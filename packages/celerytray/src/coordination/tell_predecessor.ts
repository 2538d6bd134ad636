import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { LeadingProcess } from "./leading_process.ts";
import type { KnownStatus, PeerNode, PeerSummary } from "./peer_messages.ts";
import type { PeerCalls } from "./peer_router.ts";

/** Dependencies of `tellPredecessor`. */
export interface TellPredecessorOptions {
  readonly self: PeerNode;
  /** The leader that this process has replaced. */
  readonly predecessor: LeadingProcess;
  /** The record of this process as leader. */
  readonly leader: LeadingProcess;
  /** Positions up to which this process knows the topics. */
  readonly topics: Pick<KnownStatus, "instancesOffset" | "configOffset">;
  readonly client: Pick<PeerCalls, "report">;
  readonly record: RecordEvent;
}

/** Counts nothing: a leader's own counts are in its status. */
const EMPTY_SUMMARY: PeerSummary = {
  processes: 0,
  candidates: [],
  stalledHeads: [],
  slowHeads: [],
  leaving: [],
  demand: {},
  tenantDemand: {},
  repeats: {},
  hasTraffic: false,
};

/**
 * Tells a replaced leader that its term is over, by a report of the later term.
 * Otherwise it may give orders for 2 s until it reads the records.
 */
export function tellPredecessor(
  { self, predecessor, leader, topics, client, record }: TellPredecessorOptions,
): Effect.Effect<void> {
  return client.report(predecessor.peerAddress, {
    reporter: self,
    bootId: leader.bootId,
    summary: EMPTY_SUMMARY,
    known: {
      term: leader.term,
      relaysVersion: "",
      updatesVersion: "",
      ...topics,
    },
    holdMs: 0,
  }).pipe(
    Effect.asVoid,
    Effect.catch(({ message, isRefused }) =>
      Effect.sync(() => record("lead.silent", { message, isRefused }))
    ),
  );
}
