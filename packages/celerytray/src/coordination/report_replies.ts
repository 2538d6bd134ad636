import { Effect } from "effect";
import type { ChangeSignal } from "./change_signal.ts";
import type { CoordinatorOptions } from "./coordinator_options.ts";
import { MIN_UPDATE_INTERVAL_MS } from "./intervals.ts";
import type { LeaderStatus } from "./leader_status.ts";
import type { PeerReport, ReportReply } from "./peer_messages.ts";
import { describeConfig } from "./config_in_force.ts";
import { describeTopicSince } from "./relayed_topic.ts";

/** Dependencies of the replies to reports. */
export interface ReportRepliesOptions
  extends Pick<CoordinatorOptions, "instances" | "config" | "configInForce"> {
  readonly status: LeaderStatus;
  readonly changeSignal: ChangeSignal;
  readonly isLeading: () => boolean;
  /** Whether this process is shutting down. */
  readonly hasResigned: () => boolean;
  readonly nowMs: () => number;
}

/** Replies to the reports of other processes with the leader's status. */
export class ReportReplies {
  readonly #options: ReportRepliesOptions;

  constructor(options: ReportRepliesOptions) {
    this.#options = options;
  }

  /** Replies once there is news for the sender or its hold time has passed. */
  reply(report: PeerReport): Effect.Effect<ReportReply> {
    const { nowMs } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const arrivedAtMs = nowMs();
      yield* this.#awaitUpdates(report);
      const heldMs = nowMs() - arrivedAtMs;
      return { ...this.#createReply(report), heldMs };
    });
  }

  #awaitUpdates({ known, holdMs }: PeerReport): Effect.Effect<void> {
    const { instances, config, status, changeSignal, hasResigned, nowMs } =
      this.#options;
    return Effect.gen(function* () {
      const startedAtMs = nowMs();
      while (!hasResigned() && !status.hasUpdates(known)) {
        const passedMs = nowMs() - startedAtMs;
        const hasChanged = instances.copy.nextOffset > known.instancesOffset ||
          config.copy.nextOffset > known.configOffset;
        const remainingMs =
          (hasChanged ? Math.min(holdMs, MIN_UPDATE_INTERVAL_MS) : holdMs) -
          passedMs;
        if (remainingMs <= 0) return;
        yield* changeSignal.awaitChange(Math.ceil(remainingMs));
      }
    });
  }

  #createReply(
    { known, configVersion }: PeerReport,
  ): Omit<ReportReply, "heldMs"> {
    const { instances, config, status, isLeading, hasResigned } = this.#options;
    const nowMs = this.#options.nowMs();
    return {
      isLeading: isLeading(),
      ...status.describe(known, nowMs),
      // Makes the reporter turn to another process, as this one is shutting
      // down.
      ...(hasResigned() ? { statusAgeMs: null } : {}),
      ...describeConfig(this.#options.configInForce, configVersion),
      config: describeTopicSince(config, known.configOffset, nowMs),
      instances: describeTopicSince(instances, known.instancesOffset, nowMs),
    };
  }
}
