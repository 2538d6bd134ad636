import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { EngineSpec } from "../serving/index.ts";
import type { DivisionRules, Formation } from "./divide_pool.ts";
import { ExpectedReplicas } from "./expected_replicas.ts";
import { findReassignable } from "./find_reassignable.ts";
import type { FleetState } from "./fleet_state.ts";
import type { InstanceState } from "./instance_state.ts";
import type { OrderDispatcher } from "./order_dispatcher.ts";
import { planCrossStaging } from "./plan_cross_staging.ts";
import { planFormations } from "./plan_formations.ts";
import { planSpares } from "./plan_spares.ts";
import { retireReplica } from "./replica_run.ts";
import { noteRecordFailure, type ReplicaRecorder } from "./replica_recorder.ts";

/** How the instances of each model service work, by service. */
export type EngineSpecs = ReadonlyMap<string, EngineSpec>;

/** What forming replicas works with. */
export interface ReplicaFormerOptions {
  readonly state: FleetState;
  readonly dispatcher: OrderDispatcher;
  readonly recorder: ReplicaRecorder;
  readonly engines: () => EngineSpecs;
  /** Requests in progress for a model, over all processes. */
  readonly demand: (model: string) => number;
  /** Whether callers have sent requests yet. */
  readonly hasTraffic: () => boolean;
  /** Whether records of replicas are being removed just now. */
  readonly isRetiring: () => boolean;
  readonly record: RecordEvent;
}

interface SparePreparation {
  readonly engine: EngineSpec;
  readonly free: readonly InstanceState[];
  /** Models that instances are to load for a replica to come, by instance. */
  readonly preparations: ReadonlyMap<string, string>;
}

/** Interval at which a replica to give up is looked for. */
const REASSIGN_LOOK_MS = 300;
/** Time in which one that was given up is taken apart and formed anew. */
const REASSIGN_PAUSE_MS = 4_000;

/** Forms replicas of free instances and prepares the others as spares. */
export class ReplicaFormer {
  readonly #options: ReplicaFormerOptions;
  readonly #state: FleetState;
  readonly #dispatcher: OrderDispatcher;
  /** By service. */
  readonly #expected = new Map<string, ExpectedReplicas>();
  #isForming = false;
  /** Time from which replicas to give up are looked for. */
  #reassignDueAtMs = 0;

  constructor(options: ReplicaFormerOptions) {
    this.#options = options;
    this.#state = options.state;
    this.#dispatcher = options.dispatcher;
  }

  /** New replicas, and spares to prepare. */
  plan(nowMs: number): readonly Effect.Effect<unknown>[] {
    this.#state.weights.noteList(this.#state.instances.list(), nowMs);
    if (this.#isForming || this.#options.isRetiring()) return [];
    const work: Effect.Effect<unknown>[] = [];
    for (const [service, engine] of this.#options.engines()) {
      const unsettled = this.#listUnsettledDomains(service);
      const free = this.#state.listFree(service).filter(({ id, domain }) =>
        !unsettled.has(domain!) && !this.#state.weights.isOverdue(id, nowMs)
      );
      const rules = this.#createRules(service, engine);
      const { formations, preparations } = planFormations({
        ...rules,
        free,
        replicas: this.#state.listWanted(service),
        isFilled: (domain) => this.#state.weights.isFilled(domain, nowMs),
      });
      if (formations.length > 0) {
        work.push(this.#form(formations));
        continue;
      }
      this.#reassign(rules, free, nowMs);
      work.push(
        ...this.#prepareSpares({ engine, free, preparations }, nowMs),
        ...this.#crossStage(service, engine, nowMs),
      );
    }
    return work;
  }

  /** Time until a replica is expected, by model that has none that serves. */
  expectedMs(nowMs: number): Readonly<Record<string, number>> {
    const expected: Record<string, number> = {};
    for (const [service, { models }] of this.#options.engines()) {
      const known = this.#expected.get(service) ?? new ExpectedReplicas();
      this.#expected.set(service, known);
      const input = {
        models,
        runs: this.#state.listServing(service),
        findInstance: (id: string) => this.#state.instances.find(id),
        hotModel: (id: string) => this.#state.weights.hotModel(id),
      };
      Object.assign(expected, known.list(input, nowMs));
    }
    return expected;
  }

  #createRules(service: string, engine: EngineSpec): DivisionRules {
    return {
      service,
      models: engine.models,
      hotModel: (id) => this.#state.weights.hotModel(id),
      fill: (model, replicas) =>
        this.#options.demand(model) / (Math.max(1, replicas) * engine.slots),
      preparedModel: (id) => this.#state.weights.preparedModel(id),
      isEarly: !this.#options.hasTraffic(),
    };
  }

  /** Gives a replica up where its members are worth more in others. */
  #reassign(
    rules: DivisionRules,
    free: readonly InstanceState[],
    nowMs: number,
  ): void {
    if (rules.isEarly || nowMs < this.#reassignDueAtMs) return;
    this.#reassignDueAtMs = nowMs + REASSIGN_LOOK_MS;
    const found = findReassignable({
      ...rules,
      free,
      runs: this.#state.listServing(rules.service),
      findInstance: (id) => this.#state.instances.find(id),
    });
    if (found === undefined) return;
    this.#reassignDueAtMs = nowMs + REASSIGN_PAUSE_MS;
    retireReplica(found.run, {
      reason: `its members are needed for ${found.models.join(" and ")}`,
      nowMs,
      record: this.#options.record,
    });
  }

  /** Domains in which a free instance is doubted and not yet decided on. */
  #listUnsettledDomains(service: string): ReadonlySet<string> {
    const used = this.#state.memberIds();
    const unsettled = new Set<string>();
    for (const instance of this.#state.instances.list()) {
      const { id, domain } = instance;
      if (instance.service !== service || domain === undefined) continue;
      if (used.has(id) || !this.#state.liveness.isDoubted(id)) continue;
      if (this.#state.isAlive(id)) unsettled.add(domain);
    }
    return unsettled;
  }

  #form(formations: readonly Formation[]): Effect.Effect<void> {
    this.#isForming = true;
    const { recorder, record } = this.#options;
    const formOne = (formation: Formation) =>
      recorder.form(formation).pipe(
        Effect.matchEffect({
          onSuccess: (replica) =>
            Effect.sync(() => {
              this.#state.addReplica(replica);
              record("replica.formed", {
                replica: replica.name,
                model: replica.model,
                epoch: replica.epoch,
                members: replica.members,
              });
            }),
          onFailure: ({ message }) =>
            noteRecordFailure(record, { replica: "new", message }),
        }),
      );
    return Effect.forEach(formations, formOne, { discard: true }).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.#isForming = false;
        }),
      ),
    );
  }

  #prepareSpares(
    { engine, free, preparations }: SparePreparation,
    nowMs: number,
  ): readonly Effect.Effect<unknown>[] {
    return planSpares({
      models: engine.models,
      free: free.filter(({ domain }) =>
        this.#state.weights.isFilled(domain!, nowMs)
      ),
      hotModel: (id) => this.#state.weights.hotModel(id),
      preparedModel: (id) => this.#state.weights.preparedModel(id),
      wantedModels: preparations,
      epoch: this.#state.fence,
    }).flatMap(({ instance, order }) =>
      this.#dispatcher.send({ instanceId: instance.id, order }, nowMs)
    );
  }

  /** Loads don't count before the first request. */
  #crossStage(
    service: string,
    engine: EngineSpec,
    nowMs: number,
  ): readonly Effect.Effect<unknown>[] {
    if (this.#options.hasTraffic()) return [];
    const { instances } = this.#state;
    const underWay = this.#state.weights.countStaging(
      (id) => instances.find(id),
      nowMs,
    );
    return planCrossStaging({
      models: engine.models,
      replicas: this.#state.listWanted(service),
      findInstance: (id) => instances.find(id),
    }).filter(({ instance }) => !this.#state.weights.wasStaged(instance.id))
      .slice(0, Math.max(0, engine.loadsAtOnce - underWay))
      .flatMap(({ instance, order }) =>
        this.#dispatcher.send({ instanceId: instance.id, order }, nowMs)
      );
  }
}
