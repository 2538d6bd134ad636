import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { EngineSpec } from "../serving/index.ts";
import type { DivisionRules, Formation } from "./divide_pool.ts";
import { ReadinessEstimator } from "./readiness_estimator.ts";
import { findReassignable, type Reassignable } from "./find_reassignable.ts";
import { giveUpReplica } from "./give_up_replica.ts";
import type { ControllerState } from "./controller_state.ts";
import type { InstanceState } from "./instance_state.ts";
import type { OrderDispatcher } from "./order_dispatcher.ts";
import { planCrossStaging } from "./plan_cross_staging.ts";
import { planFormations } from "./plan_formations.ts";
import { planSpares } from "./plan_spares.ts";
import { noteRecordFailure, type ReplicaRecorder } from "./replica_recorder.ts";
import type { ReplicaRun } from "./replica_progress.ts";

/** Engine specifications, by name of the model service. */
export type EngineSpecs = ReadonlyMap<string, EngineSpec>;

/** Dependencies of a formation planner. */
export interface FormationPlannerOptions {
  readonly state: ControllerState;
  readonly dispatcher: OrderDispatcher;
  readonly recorder: ReplicaRecorder;
  readonly engines: () => EngineSpecs;
  /** Number of requests in progress for a model, over all processes. */
  readonly demand: (model: string) => number;
  /** Whether any caller has sent a request yet. */
  readonly hasTraffic: () => boolean;
  /** Whether a replica's record is being removed. */
  readonly isRetiring: () => boolean;
  readonly record: RecordEvent;
}

interface SparePreparation {
  readonly engine: EngineSpec;
  readonly free: readonly InstanceState[];
  /** Model to load for a replica that is yet to be formed, by instance. */
  readonly preparations: ReadonlyMap<string, string>;
}

/** Interval between searches for a replica to reassign. */
const REASSIGN_CHECK_INTERVAL_MS = 300;
/** Time that a reassigned replica takes to retire and to form again. */
const REASSIGN_COOLDOWN_MS = 4_000;

/**
 * Maximum time for which nothing is formed while the store is asked whether a
 * replica may be given up.
 */
const MAX_GIVING_UP_WAIT_MS = 100;
/** Maximum time for which a domain waits for the members of a replica. */
const MAX_RETIREMENT_WAIT_MS = 3_000;

/** Forms replicas from free instances and prepares the rest as spares. */
export class FormationPlanner {
  readonly #options: FormationPlannerOptions;
  readonly #state: ControllerState;
  readonly #dispatcher: OrderDispatcher;
  /** Estimator of each service. */
  readonly #readinessEstimators = new Map<string, ReadinessEstimator>();
  #isForming = false;
  /** Time up to which no free instance is bound, as a replica is given up. */
  #givingUpUntilMs = 0;
  /** Time of the next search for a replica to reassign. */
  #reassignDueAtMs = 0;
  /** The replica that was reassigned last. */
  #reassigned: ReplicaRun | undefined;

  constructor(options: FormationPlannerOptions) {
    this.#options = options;
    this.#state = options.state;
    this.#dispatcher = options.dispatcher;
  }

  /** Effects that form new replicas and prepare spares. */
  plan(nowMs: number): readonly Effect.Effect<unknown>[] {
    this.#state.weights.noteList(this.#state.instances.list(), nowMs);
    const isGivingUp = nowMs < this.#givingUpUntilMs;
    if (this.#isForming || isGivingUp || this.#options.isRetiring()) return [];
    const effects: Effect.Effect<unknown>[] = [];
    for (const [service, engine] of this.#options.engines()) {
      const unsettled = new Set([
        ...this.#listSuspectedDomains(service),
        ...this.#listRetiringDomains(service, nowMs),
      ]);
      const free = this.#state.listFree(service, nowMs).filter((
        { id, domain },
      ) =>
        !unsettled.has(domain!) &&
        !this.#state.weights.isPreparationOverdue(id, nowMs)
      );
      const rules = this.#createRules(service, engine, nowMs);
      const { formations, preparations } = planFormations({
        ...rules,
        free,
        replicas: this.#state.listActiveRecords(service),
        isDomainComplete: (domain) =>
          this.#state.weights.isDomainComplete(domain, nowMs),
      });
      if (formations.length > 0) {
        effects.push(this.#recordFormations(formations));
        continue;
      }
      const reassignable = this.#findReassignable(rules, free, nowMs);
      if (reassignable !== undefined) {
        effects.push(this.#giveUp(reassignable, nowMs));
        continue;
      }
      effects.push(
        ...this.#prepareSpares({ engine, free, preparations }, nowMs),
        ...this.#stageAcrossReplicas(service, engine, nowMs),
      );
    }
    return effects;
  }

  /** Estimated time until a replica serves, by model without a serving one. */
  expectedMs(nowMs: number): Readonly<Record<string, number>> {
    const expected: Record<string, number> = {};
    for (const [service, { models }] of this.#options.engines()) {
      const known = this.#readinessEstimators.get(service) ??
        new ReadinessEstimator();
      this.#readinessEstimators.set(service, known);
      const input = {
        models,
        runs: this.#state.listActive(service),
        findInstance: (id: string) => this.#state.instances.find(id),
        heldModel: (id: string) => this.#state.weights.heldModel(id),
      };
      Object.assign(expected, known.estimateMs(input, nowMs));
    }
    return expected;
  }

  #createRules(
    service: string,
    engine: EngineSpec,
    nowMs: number,
  ): DivisionRules {
    return {
      service,
      models: engine.models,
      heldModel: (id) => this.#state.weights.heldModel(id),
      utilisation: (model, replicas) =>
        this.#options.demand(model) / (Math.max(1, replicas) * engine.slots),
      findPreparation: (id) => this.#state.weights.findPreparation(id, nowMs),
      precedesTraffic: !this.#options.hasTraffic(),
    };
  }

  /** A replica whose members are worth more in other replicas. */
  #findReassignable(
    rules: DivisionRules,
    free: readonly InstanceState[],
    nowMs: number,
  ): Reassignable | undefined {
    const isDue = nowMs >= this.#reassignDueAtMs && !this.#isReassigning();
    if (rules.precedesTraffic || !isDue) return undefined;
    this.#reassignDueAtMs = nowMs + REASSIGN_CHECK_INTERVAL_MS;
    const found = findReassignable({
      ...rules,
      free,
      runs: this.#state.listActive(rules.service),
      findInstance: (id) => this.#state.instances.find(id),
    });
    if (found !== undefined) {
      this.#reassignDueAtMs = nowMs + REASSIGN_COOLDOWN_MS;
    }
    return found;
  }

  /** Whether the members of the replica reassigned last are not free yet. */
  #isReassigning(): boolean {
    const run = this.#reassigned;
    return run?.retirement !== undefined &&
      this.#state.runs.get(run.record.name) === run;
  }

  #giveUp({ run, models }: Reassignable, nowMs: number): Effect.Effect<void> {
    this.#reassigned = run;
    this.#givingUpUntilMs = nowMs + MAX_GIVING_UP_WAIT_MS;
    return giveUpReplica(run, {
      ...this.#options,
      reason: `its members are needed for ${models.join(" and ")}`,
    }).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.#givingUpUntilMs = 0;
        }),
      ),
    );
  }

  /** Fabric domains that are about to get the members of a retiring replica. */
  #listRetiringDomains(service: string, nowMs: number): readonly string[] {
    return [...this.#state.runs.values()].flatMap(({ record, retirement }) => {
      if (record.service !== service || retirement === undefined) return [];
      if (nowMs - retirement.sinceMs >= MAX_RETIREMENT_WAIT_MS) return [];
      return this.#state.findLatest(record.members[0]!)?.domain ?? [];
    });
  }

  /**
   * Fabric domains with a free instance that is suspected but not yet known to
   * be silent or ended.
   */
  #listSuspectedDomains(service: string): ReadonlySet<string> {
    const used = this.#state.memberIds();
    const unsettled = new Set<string>();
    for (const instance of this.#state.instances.list()) {
      const { id, domain } = instance;
      if (instance.service !== service || domain === undefined) continue;
      if (used.has(id) || !this.#state.liveness.isSuspected(id)) continue;
      if (this.#state.isAlive(id)) unsettled.add(domain);
    }
    return unsettled;
  }

  #recordFormations(formations: readonly Formation[]): Effect.Effect<void> {
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
        this.#state.weights.isDomainComplete(domain!, nowMs)
      ),
      heldModel: (id) => this.#state.weights.heldModel(id),
      preparingModel: (id) => this.#state.weights.preparingModel(id),
      wantedModels: preparations,
      epoch: this.#state.fencingNumber,
    }).flatMap(({ instance, order }) =>
      this.#dispatcher.send({ instanceId: instance.id, order }, nowMs)
    );
  }

  /**
   * Stages each model on hosts of the other model's replicas. Runs only before
   * the first request, while weight loads do not count against the rate limit.
   */
  #stageAcrossReplicas(
    service: string,
    engine: EngineSpec,
    nowMs: number,
  ): readonly Effect.Effect<unknown>[] {
    if (this.#options.hasTraffic()) return [];
    const { instances } = this.#state;
    const stagingCount = this.#state.weights.countStaging(
      (id) => instances.find(id),
      nowMs,
    );
    return planCrossStaging({
      models: engine.models,
      replicas: this.#state.listActiveRecords(service),
      findInstance: (id) => instances.find(id),
    }).filter(({ instance }) => !this.#state.weights.wasStaged(instance.id))
      .slice(0, Math.max(0, engine.loadsAtOnce - stagingCount))
      .flatMap(({ instance, order }) =>
        this.#dispatcher.send({ instanceId: instance.id, order }, nowMs)
      );
  }
}
