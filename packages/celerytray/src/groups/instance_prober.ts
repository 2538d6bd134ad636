import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { FleetState } from "./fleet_state.ts";
import type { InstanceControl } from "./instance_orders.ts";
import { findMemberState } from "./replica_run.ts";

/** What asking instances works with. */
export interface InstanceProberOptions {
  readonly state: FleetState;
  readonly control: InstanceControl;
  /** Whether an instance asked this machine for time. */
  readonly isBackingOff: (instanceId: string) => boolean;
  /** Takes note of the time for which an instance said that it stays cold. */
  readonly onColdReported?: (instanceId: string, coldMs: number) => void;
  /** Takes note that an instance said that it leaves. */
  readonly onLeaving: (instanceId: string) => void;
  readonly record: RecordEvent;
}

/** Asks instances that are doubted, or may be slow, how they are. */
export class InstanceProber {
  readonly #options: InstanceProberOptions;
  readonly #state: FleetState;

  constructor(options: InstanceProberOptions) {
    this.#options = options;
    this.#state = options.state;
  }

  /**
   * The process that decided before may have known of silent instances. Heads
   * that are open tell of their other members by how their requests go on.
   */
  doubtRecorded(): void {
    for (const run of this.#state.runs.values()) {
      const [headId, ...others] = run.record.members;
      const head = this.#state.instances.find(headId!);
      const isOpen = findMemberState(run, head) === "open";
      const doubted = isOpen ? [headId!] : [headId!, ...others];
      for (const id of doubted) this.#state.liveness.noteDoubt(id);
    }
  }

  /** Questions to doubted instances, and to members that are not listed. */
  probe(nowMs: number): readonly Effect.Effect<unknown>[] {
    const { instances } = this.#state;
    const isUnlisted = (id: string) => instances.find(id) === undefined;
    const memberIds = this.#state.memberIds();
    for (const id of memberIds) {
      if (isUnlisted(id)) this.#state.liveness.noteDoubt(id);
    }
    this.#state.liveness.keepOnly((id) => memberIds.has(id) || !isUnlisted(id));
    this.#state.paces.keepOnly((id) => !isUnlisted(id));
    const due = new Set([
      ...this.#state.liveness.takeDue(nowMs, isUnlisted),
      ...this.#state.paces.takeDue(nowMs),
    ]);
    return [...due].filter((id) => !this.#options.isBackingOff(id))
      .map((id) => this.#probeOne(id, isUnlisted(id)));
  }

  #probeOne(id: string, isAbsent: boolean): Effect.Effect<void> {
    const address = this.#state.findAddress(id);
    if (address === undefined) return Effect.void;
    return this.#options.control.probe({ id, address }).pipe(
      Effect.matchEffect({
        onSuccess: ({ pace, isLeaving, coldMs }) =>
          Effect.sync(() => {
            if (coldMs !== undefined) {
              this.#options.onColdReported?.(id, coldMs);
            }
            if (isLeaving) this.#options.onLeaving(id);
            if (!isAbsent) this.#state.liveness.noteAlive(id);
            else this.#state.liveness.noteProbed(id);
            pace.caseOf({
              Left: (message) =>
                this.#options.record("instance.report-malformed", {
                  instanceId: id,
                  message,
                }),
              Right: (value) => this.#state.paces.notePace(id, value),
            });
          }),
        onFailure: ({ isRefused, message }) =>
          Effect.sync(() => {
            this.#state.liveness.noteProbeFailed(id, { isRefused });
            const { kind } = this.#state.liveness.livenessOf(id);
            this.#options.record("instance.probe-failed", {
              instanceId: id,
              liveness: kind,
              message,
            });
          }),
      }),
    );
  }
}
