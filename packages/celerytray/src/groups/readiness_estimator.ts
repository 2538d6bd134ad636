import type { ServedModel } from "../serving/index.ts";
import type { InstanceState } from "./instance_state.ts";
import { findMemberState, type ReplicaRun } from "./replica_progress.ts";

/** Input of a readiness estimate. */
export interface ReadinessInput {
  readonly models: readonly ServedModel[];
  /** Replicas of the service that serve or are being formed. */
  readonly runs: readonly ReplicaRun[];
  readonly findInstance: (id: string) => InstanceState | undefined;
  /** Model whose weights an instance has in memory. */
  readonly heldModel: (instanceId: string) => string | undefined;
}

/** Time from the last member's readiness until the replica is seen open. */
const OPENING_MS = 200;

/** Estimates the time until models without a serving replica have one. */
export class ReadinessEstimator {
  /** Time at which a replica was first seen, by its name. */
  readonly #seenAtMs = new Map<string, number>();

  /** Estimated time until a replica serves, by model without a serving one. */
  estimateMs(input: ReadinessInput, nowMs: number): Record<string, number> {
    this.#noteSeen(input, nowMs);
    const expected: Record<string, number> = {};
    for (const model of input.models) {
      const runs = input.runs.filter(({ record }) =>
        record.model === model.name
      );
      const isServing = runs.some((run) =>
        findMemberState(run, input.findInstance(run.record.members[0]!)) ===
          "open"
      );
      if (isServing) continue;
      const timesMs = runs.map((run) =>
        this.#estimateFormingMs(input, { run, model, nowMs })
      );
      expected[model.name] = timesMs.length === 0
        ? model.loadMs
        : Math.max(OPENING_MS, Math.min(...timesMs));
    }
    return expected;
  }

  #noteSeen({ models, runs }: ReadinessInput, nowMs: number): void {
    const ownModels = new Set(models.map(({ name }) => name));
    for (const { record: { name, model } } of runs) {
      if (ownModels.has(model) && !this.#seenAtMs.has(name)) {
        this.#seenAtMs.set(name, nowMs);
      }
    }
    const names = new Set(runs.map(({ record }) => record.name));
    for (const name of this.#seenAtMs.keys()) {
      if (!names.has(name)) this.#seenAtMs.delete(name);
    }
  }

  /** Estimated time until the slowest member has joined and the head opens. */
  #estimateFormingMs(
    { findInstance, heldModel }: ReadinessInput,
    { run, model, nowMs }: {
      readonly run: ReplicaRun;
      readonly model: ServedModel;
      readonly nowMs: number;
    },
  ): number {
    const seenAtMs = this.#seenAtMs.get(run.record.name) ?? nowMs;
    const joinsMs = run.record.members.map((id) => {
      if (run.readyIds.has(id) || heldModel(id) === model.name) return 0;
      const staged = findInstance(id)?.stagedModels ?? [];
      const joinMs = staged.includes(model.name) ? model.warmMs : model.loadMs;
      return joinMs - (nowMs - seenAtMs);
    });
    return Math.max(...joinsMs) + OPENING_MS;
  }
}
