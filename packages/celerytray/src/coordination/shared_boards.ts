import type { Effect } from "effect";
import type { RecordFailure } from "../groups/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import {
  type CrashQuarantine,
  EMPTY_LIMIT_REPORT,
  EMPTY_REPORT,
  type InstanceLimits,
  LimitBoard,
  QuarantineBoard,
  type QuarantinedPart,
} from "../serving/index.ts";
import { evidenceSettleMs } from "./intervals.ts";
import {
  type LossSources,
  ReportedLosses,
  type ReportedLossesOptions,
} from "./reported_losses.ts";
import type { LeaderStatus } from "./leader_status.ts";
import type { InstanceUpdates, PeerSummary } from "./peer_messages.ts";
import { recordQuarantine } from "./quarantine_recorder.ts";
import { MAX_DIRECT_PROCESSES } from "./select_relays.ts";

/** Dependencies of the boards of a leader. */
export interface SharedBoardsOptions {
  readonly term: number;
  readonly quarantine: CrashQuarantine;
  readonly limits: InstanceLimits;
  readonly losses: LossSources;
  readonly askReaches: ReportedLossesOptions["askReaches"];
  readonly status: LeaderStatus;
  readonly record: RecordEvent;
  readonly nowMs: () => number;
}

/** What a leader concludes from the reports of all processes, for one term. */
export class SharedBoards {
  readonly #options: SharedBoardsOptions;
  readonly #quarantine: QuarantineBoard;
  readonly #limits: LimitBoard;
  readonly #losses: ReportedLosses;

  constructor(options: SharedBoardsOptions) {
    const { term, quarantine, status, record, nowMs } = options;
    this.#options = options;
    this.#losses = new ReportedLosses({
      ...options.losses,
      askReaches: options.askReaches,
      onAlive: (incarnation) => record("quarantine.withdrawn", { incarnation }),
      nowMs,
    });
    this.#quarantine = new QuarantineBoard({
      term,
      releaseOffset: (part) => quarantine.releaseOffset(part),
      onQuarantined: ({ part, crashes, incarnations }) =>
        record("quarantine.decided", { part, crashes, incarnations }),
    });
    this.#limits = new LimitBoard({
      published: status.limits ?? [],
      nowMs: nowMs(),
    });
  }

  /** Updates the conclusions; this process adopts them at once. */
  update(
    summary: PeerSummary,
    processes: number,
  ): Pick<InstanceUpdates, "quarantine" | "limits"> {
    const { quarantine, limits, nowMs } = this.#options;
    const report = summary.quarantine ?? EMPTY_REPORT;
    this.#losses.note(
      new Set(report.crashes.map(({ incarnation }) => incarnation)),
    );
    const suspects = this.#quarantine.update(
      // Processes do not report the parts that the leader's status names.
      {
        ...report,
        quarantined: [...quarantine.quarantined, ...report.quarantined],
      },
      {
        nowMs: nowMs(),
        settleMs: evidenceSettleMs(processes > MAX_DIRECT_PROCESSES),
        proveLoss: (incarnation) => this.#losses.proofOf(incarnation),
      },
    );
    const divided = this.#limits.update(
      summary.limits ?? EMPTY_LIMIT_REPORT,
      nowMs(),
    );
    quarantine.adopt(suspects);
    limits.adopt(divided, nowMs());
    return {
      limits: divided,
      ...(suspects.length === 0 ? {} : { quarantine: suspects }),
    };
  }

  /** Checks the losses that are reported. */
  checkLosses(): Effect.Effect<never> {
    return this.#losses.run();
  }

  /** Keeps the store's records of the parts in quarantine up to date. */
  recordQuarantine(
    recorded: readonly QuarantinedPart[],
    put: (
      key: string,
      value: Buffer | undefined,
    ) => Effect.Effect<void, RecordFailure>,
  ): Effect.Effect<never> {
    return recordQuarantine({
      recorded,
      quarantined: () => this.#quarantine.quarantined,
      put,
      record: this.#options.record,
    });
  }
}
