import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { ControllerState } from "./controller_state.ts";
import type { InstanceControl } from "./instance_orders.ts";
import { findMemberState } from "./replica_progress.ts";

/** Dependencies of an instance prober. */
export interface InstanceProberOptions {
  readonly state: ControllerState;
  readonly control: InstanceControl;
  /** Whether an instance asked this machine to back off. */
  readonly isBackingOff: (instanceId: string) => boolean;
  /** Called with the time for which an instance reports that it stays cold. */
  readonly onColdReported?: (instanceId: string, coldMs: number) => void;
  /** Called when an instance reports that it is leaving. */
  readonly onLeaving: (instanceId: string) => void;
  readonly record: RecordEvent;
}

/** Probes instances that are suspected to be silent or slow. */
export class InstanceProber {
  readonly #options: InstanceProberOptions;
  readonly #state: ControllerState;

  constructor(options: InstanceProberOptions) {
    this.#options = options;
    this.#state = options.state;
  }

  /**
   * Marks members as suspected when a new leader starts, since the previous one
   * may have known of silent instances. Of a replica with an open head only the
   * head is suspected: its requests stall if another member is silent.
   */
  suspectRecordedMembers(): void {
    for (const run of this.#state.runs.values()) {
      const [headId, ...others] = run.record.members;
      const head = this.#state.instances.find(headId!);
      const isOpen = findMemberState(run, head) === "open";
      const suspected = isOpen ? [headId!] : [headId!, ...others];
      for (const id of suspected) this.#state.liveness.noteSuspected(id);
    }
  }

  /** Probes suspected instances, and members that are not listed. */
  probe(nowMs: number): readonly Effect.Effect<unknown>[] {
    const { instances } = this.#state;
    const isUnlisted = (id: string) => instances.find(id) === undefined;
    const memberIds = this.#state.memberIds();
    for (const id of memberIds) {
      if (isUnlisted(id)) this.#state.liveness.noteSuspected(id);
    }
    this.#state.liveness.retain((id) => memberIds.has(id) || !isUnlisted(id));
    this.#state.slowInstances.retain((id) => !isUnlisted(id));
    const due = new Set([
      ...this.#state.liveness.takeDueProbes(nowMs, isUnlisted),
      ...this.#state.slowInstances.takeDueProbes(nowMs),
    ]);
    return [...due].filter((id) => !this.#options.isBackingOff(id))
      .map((id) =>
        this.#probeOne(id, { isAbsent: isUnlisted(id), sentAtMs: nowMs })
      );
  }

  #probeOne(
    id: string,
    { isAbsent, sentAtMs }: {
      readonly isAbsent: boolean;
      readonly sentAtMs: number;
    },
  ): Effect.Effect<void> {
    const address = this.#state.findAddress(id);
    if (address === undefined) return Effect.void;
    return this.#options.control.probe({ id, address }).pipe(
      Effect.matchEffect({
        onSuccess: ({ pace, isLeaving, coldMs }) =>
          Effect.map(steadyMs, (nowMs) => {
            this.#state.liveness.noteAnswered(nowMs);
            if (coldMs !== undefined) {
              this.#options.onColdReported?.(id, coldMs);
            }
            if (isLeaving) this.#options.onLeaving(id);
            if (!isAbsent) this.#state.liveness.noteAlive(id);
            else this.#state.liveness.noteProbeAnswered(id);
            pace.caseOf({
              Left: (message) =>
                this.#options.record("instance.report-malformed", {
                  instanceId: id,
                  message,
                }),
              Right: (value) => this.#state.slowInstances.notePace(id, value),
            });
          }),
        onFailure: ({ reason, message }) =>
          Effect.map(steadyMs, (nowMs) => {
            const { liveness } = this.#state;
            liveness.noteProbeFailed(id, { reason, nowMs, sentAtMs });
            this.#options.record("instance.probe-failed", {
              instanceId: id,
              liveness: liveness.livenessOf(id).kind,
              ...liveness.describeSilence(id, nowMs),
              message,
            });
          }),
      }),
    );
  }
}
