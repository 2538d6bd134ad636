import { Effect } from "effect";
import type { ReplicaRecord } from "../groups/index.ts";
import { eraOf, type LogPosition } from "../keyed_log/index.ts";
import type { ChangeSignal } from "./change_signal.ts";
import type { CoordinatorOptions } from "./coordinator_options.ts";
import { RETRY_DELAY_MS } from "./intervals.ts";
import { claimLeadership, type FleetRecords } from "./leader_log.ts";
import type { LeaderSearch } from "./leader_search.ts";
import type { LeadingProcess } from "./leading_process.ts";
import type { LeaderStatus } from "./leader_status.ts";
import { LeaderTerm } from "./leader_term.ts";
import type { ReportTable } from "./report_table.ts";
import type { Summaries } from "./summaries.ts";

/** What the terms of this process need of the rest of its coordination. */
export interface OwnTermsOptions extends CoordinatorOptions {
  readonly status: LeaderStatus;
  readonly table: ReportTable;
  readonly summaries: Summaries;
  readonly search: LeaderSearch;
  readonly changeSignal: ChangeSignal;
  /** Times since which instances have not answered this process. */
  readonly silentSinceMs: () => ReadonlyMap<string, number>;
  readonly hasResigned: () => boolean;
  readonly nowMs: () => number;
}

/** A term of this process that is over. */
interface EndedTerm {
  readonly term: LogPosition;
  readonly replicas: readonly ReplicaRecord[];
}

/** Claims leadership for this process, and leads. */
export class OwnTerms {
  readonly #options: OwnTermsOptions;
  #current: LeaderTerm | undefined;
  /** This process's last term, unless another process has led since. */
  #last: EndedTerm | undefined;

  constructor(options: OwnTermsOptions) {
    this.#options = options;
  }

  /** The term for which this process leads; undefined while it doesn't. */
  get current(): LeaderTerm | undefined {
    return this.#current;
  }

  /** Forgets the last term, as another process leads. */
  forgetLast(): void {
    this.#last = undefined;
  }

  /**
   * Returns the replicas of this process's last term if the records come from
   * an older copy of the store; undefined where the records are to be believed.
   */
  recallReplicas(
    { leader, nextOffset }: FleetRecords,
  ): readonly ReplicaRecord[] | undefined {
    const last = this.#last;
    if (last === undefined || eraOf(nextOffset) === eraOf(last.term)) return;
    return (leader?.term ?? 0) > last.term ? undefined : last.replicas;
  }

  /**
   * Claims leadership and, if that succeeds, leads until another process does;
   * whether it did.
   */
  claim(records: FleetRecords): Effect.Effect<boolean> {
    const { self, bootId, generation, log, record } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const { nodeId, peerAddress } = self;
      const leader = { nodeId, bootId, peerAddress, generation };
      const claim = yield* claimLeadership(log, { leader, records }).pipe(
        Effect.catch(({ message }) =>
          Effect.sync(() => {
            record("lead.claim-failed", { message });
            return undefined;
          })
        ),
      );
      if (claim === undefined) {
        yield* Effect.sleep(RETRY_DELAY_MS);
        return false;
      }
      if (claim.kind === "lost") return false;
      yield* this.#run({ ...leader, term: claim.term }, records);
      return true;
    });
  }

  #run(leader: LeadingProcess, records: FleetRecords): Effect.Effect<void> {
    return Effect.suspend(() => {
      const { summaries, search, changeSignal, hasResigned } = this.#options;
      const term = new LeaderTerm({
        ...this.#options,
        leader,
        stored: records.replicas,
        remembered: this.recallReplicas(records),
        quarantined: records.quarantined,
        summarize: () => summaries.all(),
        summarizeOwn: () => summaries.own(),
        awaitSuccessor: (termNumber, waitMs) =>
          search.awaitSuccessor(termNumber, waitMs),
        onUpdate: () => changeSignal.notify(),
      });
      if (hasResigned()) term.resign();
      this.#current = term;
      return term.run().pipe(
        Effect.ensuring(Effect.sync(() => {
          this.#last = term.hasSuccessor ? undefined : {
            term: leader.term,
            replicas: term.listReplicas(),
          };
          this.#current = undefined;
        })),
      );
    });
  }
}
