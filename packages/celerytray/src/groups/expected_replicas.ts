import type { ServedModel } from "../serving/index.ts";
import type { InstanceState } from "./instance_state.ts";
import { findMemberState, type ReplicaRun } from "./replica_run.ts";

/** What the time until replicas serve is estimated by. */
export interface ExpectedInput {
  readonly models: readonly ServedModel[];
  /** Replicas of the service that serve or are to serve. */
  readonly runs: readonly ReplicaRun[];
  readonly findInstance: (id: string) => InstanceState | undefined;
  /** Model whose weights an instance has in memory. */
  readonly hotModel: (instanceId: string) => string | undefined;
}

/** Time from a member's readiness until its replica is known to be open. */
const OPENING_MS = 200;
/** Estimates how long models without a replica stay so. */
export class ExpectedReplicas {
  /** Time at which a replica was first seen, by name. */
  readonly #seenAtMs = new Map<string, number>();

  /** Time until a replica serves, by model that has none that does. */
  list(input: ExpectedInput, nowMs: number): Record<string, number> {
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
        this.#formingMs(input, { run, model, nowMs })
      );
      expected[model.name] = timesMs.length === 0
        ? model.loadMs
        : Math.max(OPENING_MS, Math.min(...timesMs));
    }
    return expected;
  }

  #noteSeen({ models, runs }: ExpectedInput, nowMs: number): void {
    const isOwn = new Set(models.map(({ name }) => name));
    for (const { record: { name, model } } of runs) {
      if (isOwn.has(model) && !this.#seenAtMs.has(name)) {
        this.#seenAtMs.set(name, nowMs);
      }
    }
    const names = new Set(runs.map(({ record }) => record.name));
    for (const name of this.#seenAtMs.keys()) {
      if (!names.has(name)) this.#seenAtMs.delete(name);
    }
  }

  /** Time until the slowest member of a replica has joined it. */
  #formingMs(
    { findInstance, hotModel }: ExpectedInput,
    { run, model, nowMs }: {
      readonly run: ReplicaRun;
      readonly model: ServedModel;
      readonly nowMs: number;
    },
  ): number {
    const seenAtMs = this.#seenAtMs.get(run.record.name) ?? nowMs;
    const joinsMs = run.record.members.map((id) => {
      if (run.readyIds.has(id) || hotModel(id) === model.name) return 0;
      const staged = findInstance(id)?.stagedModels ?? [];
      const joinMs = staged.includes(model.name) ? model.warmMs : model.loadMs;
      return joinMs - (nowMs - seenAtMs);
    });
    return Math.max(...joinsMs) + OPENING_MS;
  }
}
