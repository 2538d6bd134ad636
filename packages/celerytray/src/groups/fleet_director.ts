import { Clock, Effect, type Scope } from "effect";
import type { EngineSpec } from "../serving/index.ts";
import type {
  InstanceControl,
  InstanceOrder,
  OrderOutcome,
} from "./instance_orders.ts";
import type { InstanceListView } from "./instance_list.ts";
import type { InstanceState } from "./instance_state.ts";
import { LivenessBook } from "./liveness_book.ts";
import { LoadLimit } from "./load_limit.ts";
import { type Formation, planFormations } from "./plan_formations.ts";
import { planSpares } from "./plan_spares.ts";
import type { ReplicaRecord } from "./replica_record.ts";
import { planRun, type ReplicaRun } from "./replica_run.ts";

/** Records of replicas; each fails once another process decides. */
export interface ReplicaRecorder {
  /** Stores a replica and returns it with its epoch. */
  form(formation: Formation): Effect.Effect<ReplicaRecord, RecordFailure>;
  retire(name: string): Effect.Effect<void, RecordFailure>;
}

/** A record was not stored; the director stops if it lost the lead. */
export interface RecordFailure {
  readonly message: string;
}

/** How the instances of each model service work, by service. */
export type EngineSpecs = ReadonlyMap<string, EngineSpec>;

/** What directing the replicas works with. */
export interface FleetDirectorOptions {
  /** Place in the log from which this process decides. */
  readonly term: number;
  readonly replicas: readonly ReplicaRecord[];
  readonly instances: InstanceListView;
  readonly control: InstanceControl;
  readonly recorder: ReplicaRecorder;
  /** Model services and how their instances work. */
  readonly engines: () => EngineSpecs;
  readonly demand: (model: string) => number | undefined;
  /** Whether callers have sent requests yet. */
  readonly hasTraffic: () => boolean;
  /** Time since which the store answers without a break. */
  readonly storeSteadySinceMs: () => number | undefined;
  readonly replicaStallMs: number;
  readonly record: (kind: string, fields: Record<string, unknown>) => void;
}

const TICK_MS = 50;
const SLOW_TICK_EVERY = 4;
/** Wait for the answer to an order before it is sent once more. */
const ORDER_REPEAT_MS = 700;
/** Wait before the preparation of a spare is ordered once more. */
const SPARE_REPEAT_MS = 3_000;
const PROBE_INTERVAL_MS = 250;
const ABSENT_PROBE_INTERVAL_MS = 1_000;
/** Time in which instances that live are listed again after an outage. */
const RELIST_MS = 2_300;
/** Beyond the time after which a head without a member is broken. */
const HEAD_SILENCE_MARGIN_MS = 500;
/** Time without a new instance after which domains count as filled. */
const GATHER_MS = 1_200;
/** Longest wait for domains to fill. */
const MAX_GATHER_MS = 5_000;
/** Loads that an earlier leader may have begun just now. */
const ASSUMED_LOADS = 8;

/** Forms, opens, repairs and takes apart replicas until the scope closes. */
export class FleetDirector {
  readonly #options: FleetDirectorOptions;
  readonly #runs = new Map<string, ReplicaRun>();
  readonly #liveness = new LivenessBook();
  /** Time of the last order of a kind to an instance. */
  readonly #orderedAtMs = new Map<string, number>();
  readonly #probedAtMs = new Map<string, number>();
  /** Model of the last join that began, by instance. */
  readonly #lastModels = new Map<string, string>();
  readonly #busyRecords = new Set<string>();
  /** Newest place in the log that orders follow from. */
  #fence: number;
  #limit: LoadLimit | undefined;
  #startedAtMs = 0;
  #instanceCount = 0;
  #countedAtMs = 0;

  constructor(options: FleetDirectorOptions) {
    this.#options = options;
    this.#fence = options.term;
    for (const record of options.replicas) {
      const run = createRun(record, new Map());
      run.mayBeOpen = true;
      this.#runs.set(record.name, run);
      for (const id of record.members) this.#lastModels.set(id, record.model);
    }
  }

  /** Replicas as they stand. */
  listRuns(): readonly ReplicaRun[] {
    return [...this.#runs.values()];
  }

  /** Takes note that requests at the head of a replica stand still. */
  noteStalled(headId: string, nowMs: number): void {
    for (const { record, retiring } of this.#runs.values()) {
      if (record.members[0] !== headId || retiring !== undefined) continue;
      for (const id of record.members) this.#liveness.noteDoubt(id, nowMs);
    }
  }

  /** Runs until the scope closes. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      this.#startedAtMs = yield* Clock.currentTimeMillis;
      let ticks = 0;
      while (true) {
        const nowMs = yield* Clock.currentTimeMillis;
        if (this.#options.instances.isLoaded) {
          const work = [
            ...this.#probe(nowMs),
            ...this.#orderRuns(nowMs),
            ...(ticks % SLOW_TICK_EVERY === 0 ? this.#planNew(nowMs) : []),
          ];
          for (const effect of work) yield* Effect.forkIn(effect, scope);
        }
        ticks += 1;
        yield* Effect.sleep(TICK_MS);
      }
    });
  }

  /** Questions to doubted members, and to members that are not listed. */
  #probe(nowMs: number): readonly Effect.Effect<unknown>[] {
    const { instances } = this.#options;
    const memberIds = new Set(
      [...this.#runs.values()].flatMap(({ record }) => record.members),
    );
    for (const id of memberIds) {
      const absent = instances.findAbsent(id);
      if (absent !== undefined) this.#liveness.noteDoubt(id, nowMs);
      else if (instances.find(id) === undefined && this.#isListSteady(nowMs)) {
        this.#liveness.noteProbeFailed(id, { isRefused: true, nowMs });
      }
    }
    return this.#liveness.listDoubted().flatMap((id) => {
      if (!memberIds.has(id)) {
        this.#liveness.forget(id);
        return [];
      }
      const isAbsent = instances.findAbsent(id) !== undefined;
      const intervalMs = isAbsent &&
          this.#liveness.livenessOf(id).kind === "alive"
        ? ABSENT_PROBE_INTERVAL_MS
        : PROBE_INTERVAL_MS;
      if (nowMs - (this.#probedAtMs.get(id) ?? 0) < intervalMs) return [];
      this.#probedAtMs.set(id, nowMs);
      return [this.#probeOne(id, isAbsent)];
    });
  }

  #probeOne(id: string, isAbsent: boolean): Effect.Effect<void> {
    const instance = this.#findLatest(id);
    if (instance === undefined) return Effect.void;
    return this.#options.control.probe(instance).pipe(
      Effect.matchEffect({
        onSuccess: () =>
          Effect.sync(() => {
            if (!isAbsent) this.#liveness.noteAlive(id);
            else this.#liveness.noteProbed(id);
          }),
        onFailure: ({ isRefused, message }) =>
          Effect.gen({ self: this }, function* () {
            const nowMs = yield* Clock.currentTimeMillis;
            this.#liveness.noteProbeFailed(id, { isRefused, nowMs });
            const { kind } = this.#liveness.livenessOf(id);
            this.#options.record("instance.probe-failed", {
              instanceId: id,
              liveness: kind,
              message,
            });
          }),
      }),
    );
  }

  /** Orders that the replicas' states ask for. */
  #orderRuns(nowMs: number): readonly Effect.Effect<unknown>[] {
    return [...this.#runs.values()].flatMap((run) => {
      const wasRetiring = run.retiring !== undefined;
      const due = planRun({
        run,
        findInstance: (id) => this.#findLatest(id),
        isListed: (id) => this.#options.instances.find(id) !== undefined,
        liveness: (id) => this.#liveness.livenessOf(id),
        nowMs,
        headSilenceMs: this.#options.replicaStallMs + HEAD_SILENCE_MARGIN_MS,
      });
      if (!wasRetiring && run.retiring !== undefined) {
        this.#options.record("replica.retiring", {
          replica: run.record.name,
          model: run.record.model,
          reason: run.retiring.reason,
        });
      }
      if (run.retiring?.isFreed === true) return this.#retire(run);
      return due.flatMap(({ instanceId, order }) =>
        this.#send(instanceId, order, { nowMs, run })
      );
    });
  }

  #retire(run: ReplicaRun): readonly Effect.Effect<unknown>[] {
    const { name } = run.record;
    if (this.#busyRecords.has(name)) return [];
    this.#busyRecords.add(name);
    return [
      this.#options.recorder.retire(name).pipe(
        Effect.matchEffect({
          onSuccess: () =>
            Effect.sync(() => {
              this.#runs.delete(name);
              this.#options.record("replica.retired", { replica: name });
            }),
          onFailure: ({ message }) => this.#noteRecordFailure(name, message),
        }),
        Effect.ensuring(
          Effect.sync(() => {
            this.#busyRecords.delete(name);
          }),
        ),
      ),
    ];
  }

  #noteRecordFailure(replica: string, message: string): Effect.Effect<void> {
    return Effect.sync(() =>
      this.#options.record("replica.record-failed", { replica, message })
    ).pipe(Effect.andThen(Effect.sleep(ORDER_REPEAT_MS)));
  }

  /** New replicas, and spares to prepare. */
  #planNew(nowMs: number): readonly Effect.Effect<unknown>[] {
    if (!this.#areDomainsFilled(nowMs)) return [];
    if (this.#busyRecords.size > 0) return [];
    const work: Effect.Effect<unknown>[] = [];
    for (const [service, engine] of this.#options.engines()) {
      const free = this.#listFree(service);
      const formations = planFormations({
        service,
        models: engine.models,
        free,
        replicas: [...this.#runs.values()]
          .filter(({ record, retiring }) =>
            record.service === service && retiring === undefined
          )
          .map(({ record }) => record),
        hotModel: (id) => this.#hotModel(id),
        demand: this.#options.demand,
      });
      if (formations.length > 0) {
        work.push(this.#form(formations));
        continue;
      }
      work.push(...this.#prepareSpares(engine, free, nowMs));
    }
    return work;
  }

  /** Whether instances no longer arrive in a row, as they do at the start. */
  #areDomainsFilled(nowMs: number): boolean {
    if (this.#options.hasTraffic()) return true;
    const count = this.#options.instances.list().length;
    if (count !== this.#instanceCount) {
      this.#instanceCount = count;
      this.#countedAtMs = nowMs;
    }
    return nowMs - this.#countedAtMs >= GATHER_MS ||
      nowMs - this.#startedAtMs >= MAX_GATHER_MS;
  }

  #listFree(service: string): readonly InstanceState[] {
    const used = new Set(
      [...this.#runs.values()].flatMap(({ record }) => record.members),
    );
    return this.#options.instances.list().filter((instance) =>
      instance.service === service && !instance.isDraining &&
      !used.has(instance.id) && instance.domain !== undefined &&
      instance.membership?.state !== "open" &&
      instance.membership?.state !== "closing"
    );
  }

  #form(formations: readonly Formation[]): Effect.Effect<void> {
    const token = "formations";
    this.#busyRecords.add(token);
    const { instances, recorder, record } = this.#options;
    const formOne = (formation: Formation) =>
      recorder.form(formation).pipe(
        Effect.matchEffect({
          onSuccess: (replica) =>
            Effect.sync(() => {
              const bornAtMs = new Map(
                replica.members.map((id) =>
                  [id, instances.find(id)?.bornAtMs] as const
                ),
              );
              this.#fence = Math.max(this.#fence, replica.epoch);
              this.#runs.set(replica.name, createRun(replica, bornAtMs));
              record("replica.formed", {
                replica: replica.name,
                model: replica.model,
                epoch: replica.epoch,
                members: replica.members,
              });
            }),
          onFailure: ({ message }) => this.#noteRecordFailure("new", message),
        }),
      );
    return Effect.forEach(formations, formOne, { discard: true }).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.#busyRecords.delete(token);
        }),
      ),
    );
  }

  #prepareSpares(
    engine: EngineSpec,
    free: readonly InstanceState[],
    nowMs: number,
  ): readonly Effect.Effect<unknown>[] {
    return planSpares({
      models: engine.models,
      free,
      hotModel: (id) => this.#hotModel(id),
      epoch: this.#fence,
    }).flatMap(({ instance, order }) =>
      this.#send(instance.id, order, { nowMs })
    );
  }

  #hotModel(instanceId: string): string | undefined {
    return this.#lastModels.get(instanceId) ??
      this.#options.instances.find(instanceId)?.loadedModel;
  }

  /** Sends an order, unless one was sent just now or may not load yet. */
  #send(
    instanceId: string,
    order: InstanceOrder,
    { nowMs, run }: { readonly nowMs: number; readonly run?: ReplicaRun },
  ): readonly Effect.Effect<unknown>[] {
    const instance = this.#findLatest(instanceId);
    if (instance === undefined) return [];
    const key = `${instanceId} ${order.kind} ${run?.record.name ?? order.kind}`;
    const repeatMs = run === undefined ? SPARE_REPEAT_MS : ORDER_REPEAT_MS;
    if (nowMs - (this.#orderedAtMs.get(key) ?? -repeatMs) < repeatMs) {
      return [];
    }
    if (this.#needsLoad(instance, order) && !this.#tryBeginLoad(nowMs)) {
      return [];
    }
    this.#orderedAtMs.set(key, nowMs);
    if (order.kind === "open" && run !== undefined) run.mayBeOpen = true;
    return [
      this.#options.control.sendOrder(instance, {
        ...order,
        fence: this.#fence,
      }).pipe(
        Effect.match({
          onSuccess: (outcome) =>
            this.#noteOrdered({
              instance,
              order,
              outcome,
              key,
              ...(run ? { run } : {}),
            }),
          onFailure: ({ message, isRefused }) => {
            this.#liveness.noteDoubt(instanceId, nowMs);
            if (isRefused) {
              this.#liveness.noteProbeFailed(instanceId, { isRefused, nowMs });
            }
            this.#options.record("order.unanswered", {
              instanceId,
              order: order.kind,
              message,
            });
          },
        }),
      ),
    ];
  }

  #noteOrdered({ instance, order, outcome, key, run }: OrderedStep): void {
    const { kind } = order;
    this.#options.record("order.answered", {
      instanceId: instance.id,
      order: kind,
      replica: run?.record.name,
      outcome,
    });
    const isTaken = outcome === "begun" || outcome === "holds";
    if (order.kind === "join" && isTaken) {
      this.#lastModels.set(instance.id, order.model);
      run?.joinedIds.add(instance.id);
    }
    const retiring = run?.retiring;
    if (retiring === undefined) return;
    if (kind === "close" && (outcome === "holds" || outcome === "unfit")) {
      retiring.isClosed = true;
    }
    // A closing that began is asked for again until it holds.
    if (kind === "close" && outcome === "begun") {
      this.#orderedAtMs.delete(key);
    }
    if (kind === "leave" && isTaken) retiring.isFreed = true;
    if (outcome === "outdated" || outcome === "elsewhere") {
      retiring.isFreed = true;
    }
  }

  #needsLoad(instance: InstanceState, order: InstanceOrder): boolean {
    if (order.kind === "stage") {
      return !instance.stagedModels.includes(order.model);
    }
    return order.kind === "join" &&
      this.#hotModel(instance.id) !== order.model &&
      !instance.stagedModels.includes(order.model);
  }

  #tryBeginLoad(nowMs: number): boolean {
    if (!this.#options.hasTraffic()) return true;
    const [engine] = this.#options.engines().values();
    if (engine === undefined) return false;
    this.#limit ??= new LoadLimit({
      loadsPerSecond: engine.loadsPerSecond,
      assumedLoads: ASSUMED_LOADS,
      nowMs,
    });
    return this.#limit.tryBegin(nowMs);
  }

  #findLatest(id: string): InstanceState | undefined {
    const { instances } = this.#options;
    return instances.find(id) ?? instances.findAbsent(id)?.state;
  }

  #isListSteady(nowMs: number): boolean {
    const sinceMs = this.#options.storeSteadySinceMs();
    return sinceMs !== undefined && nowMs - sinceMs >= RELIST_MS;
  }
}

interface OrderedStep {
  readonly instance: InstanceState;
  readonly order: InstanceOrder;
  readonly outcome: OrderOutcome;
  readonly key: string;
  readonly run?: ReplicaRun;
}

function createRun(
  record: ReplicaRecord,
  bornAtMs: Map<string, number | undefined>,
): ReplicaRun {
  return {
    record,
    joinedIds: new Set(),
    readyIds: new Set(),
    bornAtMs,
    mayBeOpen: false,
  };
}
