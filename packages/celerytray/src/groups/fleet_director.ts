import { Effect, type Scope } from "effect";
import { steadyMs } from "../clock/index.ts";
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
import { planCrossStaging } from "./plan_cross_staging.ts";
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
  /** Requests in progress for a model, over all processes. */
  readonly demand: (model: string) => number;
  /** Whether callers have sent requests yet. */
  readonly hasTraffic: () => boolean;
  readonly record: (kind: string, fields: Record<string, unknown>) => void;
}

/** Longest time between two rounds, and the steps in which a round can start. */
const TICK_MS = 60;
const STEP_MS = 10;
/** Longest time for which weights count as being put on a host. */
const STAGING_MS = 20_000;
/** Time after which the list tells what an instance was ordered. */
const LIST_LAG_MS = 1_000;
/** Wait for the answer to an order before it is sent once more. */
const ORDER_REPEAT_MS = 700;
/** Wait before an immediate closing is asked for again. */
const CLOSING_CHECK_MS = 40;
/** Wait before the preparation of a spare is ordered once more. */
const SPARE_REPEAT_MS = 3_000;
/** Wait before the loading of weights to a host is ordered once more. */
const STAGE_REPEAT_MS = 40_000;
/** Time without a new instance after which a domain counts as filled. */
const GATHER_MS = 1_200;
/** Loads that an earlier leader may have begun just now. */
const ASSUMED_LOADS = 8;

/** Forms, opens, repairs and takes apart replicas until the scope closes. */
export class FleetDirector {
  readonly #options: FleetDirectorOptions;
  readonly #runs = new Map<string, ReplicaRun>();
  readonly #liveness = new LivenessBook();
  /** Time of the last order of a kind to an instance. */
  readonly #orderedAtMs = new Map<string, number>();
  /** Model whose weights an instance had last in this life. */
  readonly #lastModels = new Map<string, string>();
  /** Model that a spare is joining with. */
  readonly #preparing = new Map<string, string>();
  readonly #busyRecords = new Set<string>();
  readonly #orphanSinceMs = new Map<string, number>();
  /** Replicas whose head surely can't be open any more. */
  readonly #dissolved = new Set<string>();
  /** Newest replica that an instance has left, by its epoch. */
  readonly #leftEpochs = new Map<string, number>();
  /** Time at which an instance began to put weights on its host. */
  readonly #stagingSinceMs = new Map<string, number>();
  /** Newest place in the log that orders follow from. */
  #fence: number;
  #limit: LoadLimit | undefined;
  #startedAtMs = 0;
  /** Whether an order, record or probe came to something since the last round. */
  #isChanged = true;
  /** Lives that were seen, by instance. */
  readonly #seenLives = new Map<string, string>();
  /** Time of the last arrival, by domain. */
  readonly #arrivedAtMs = new Map<string, number>();

  constructor(options: FleetDirectorOptions) {
    this.#options = options;
    this.#fence = options.term;
    for (const record of options.replicas) {
      const run = createRun(record);
      run.mayBeOpen = true;
      this.#runs.set(record.name, run);
    }
  }

  /** Takes note that requests at the head of a replica stand still. */
  noteStalled(headId: string): void {
    for (const { record, retiring } of this.#runs.values()) {
      if (record.members[0] !== headId || retiring !== undefined) continue;
      for (const id of record.members) this.#liveness.noteDoubt(id);
    }
  }

  /** Heads to which no requests should go. */
  listClosedHeads(): readonly string[] {
    const retiring = [...this.#runs.values()]
      .filter((run) => run.retiring !== undefined)
      .map(({ record }) => record.members[0]!);
    return [...retiring, ...this.#listOrphans().map(({ id }) => id)];
  }

  /** Runs until the scope closes. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      this.#startedAtMs = yield* steadyMs;
      let workedAtMs = Number.NEGATIVE_INFINITY;
      let revision = -1;
      while (true) {
        const nowMs = yield* steadyMs;
        const { instances } = this.#options;
        const isDue = this.#isChanged || instances.revision !== revision ||
          nowMs - workedAtMs >= TICK_MS;
        if (instances.isLoaded && isDue) {
          if (revision < 0) this.#doubtAll();
          this.#isChanged = false;
          revision = instances.revision;
          workedAtMs = nowMs;
          const work = [
            ...this.#probe(nowMs),
            ...this.#orderRuns(nowMs),
            ...this.#orderOrphans(nowMs),
            ...this.#orderStrays(nowMs),
            ...this.#planNew(nowMs),
          ];
          for (const effect of work) {
            yield* Effect.forkIn(
              Effect.ensuring(
                effect,
                Effect.sync(() => {
                  this.#isChanged = true;
                }),
              ),
              scope,
            );
          }
        }
        yield* Effect.sleep(STEP_MS);
      }
    });
  }

  /** Questions to doubted instances, and to members that are not listed. */
  #probe(nowMs: number): readonly Effect.Effect<unknown>[] {
    const { instances } = this.#options;
    const isUnlisted = (id: string) => instances.find(id) === undefined;
    const memberIds = this.#memberIds();
    for (const id of memberIds) {
      if (isUnlisted(id)) this.#liveness.noteDoubt(id);
    }
    this.#liveness.keepOnly((id) => memberIds.has(id) || !isUnlisted(id));
    return this.#liveness.takeDue(nowMs, isUnlisted)
      .map((id) => this.#probeOne(id, isUnlisted(id)));
  }

  /** The process that decided before may have known of silent instances. */
  #doubtAll(): void {
    if (this.#runs.size === 0) return;
    for (const { id, domain } of this.#options.instances.list()) {
      if (domain !== undefined) this.#liveness.noteDoubt(id);
    }
  }

  #memberIds(): ReadonlySet<string> {
    return new Set(
      [...this.#runs.values()].flatMap(({ record }) => record.members),
    );
  }

  #probeOne(id: string, isAbsent: boolean): Effect.Effect<void> {
    const address = this.#findAddress(id);
    if (address === undefined) return Effect.void;
    return this.#options.control.probe({ id, address }).pipe(
      Effect.matchEffect({
        onSuccess: () =>
          Effect.sync(() => {
            if (!isAbsent) this.#liveness.noteAlive(id);
            else this.#liveness.noteProbed(id);
          }),
        onFailure: ({ isRefused, message }) =>
          Effect.sync(() => {
            this.#liveness.noteProbeFailed(id, { isRefused });
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

  /** Takes apart open replicas that no record tells of. */
  #orderOrphans(nowMs: number): readonly Effect.Effect<unknown>[] {
    const orphans = this.#listOrphans();
    const ids = new Set(orphans.map(({ id }) => id));
    for (const id of this.#orphanSinceMs.keys()) {
      if (!ids.has(id)) this.#orphanSinceMs.delete(id);
    }
    return orphans.flatMap(({ id, membership }) => {
      const sinceMs = this.#orphanSinceMs.get(id) ?? nowMs;
      this.#orphanSinceMs.set(id, sinceMs);
      // The list may still tell what was before the head left.
      if (nowMs - sinceMs < LIST_LAG_MS || !this.#isAlive(id)) return [];
      const { replica, epoch } = membership!;
      return [
        ...this.#send(id, {
          kind: "close",
          replica,
          epoch,
          isImmediate: true,
        }, { nowMs }),
        ...this.#send(id, { kind: "leave", replica, epoch }, { nowMs }),
      ];
    });
  }

  /** Heads that are open though their replica was taken apart. */
  #listOrphans(): readonly InstanceState[] {
    return this.#options.instances.list().filter((instance) => {
      const { membership } = instance;
      if (membership?.rank !== 0 || !this.#mayServe(instance)) return false;
      const { replica, epoch } = membership;
      return this.#runs.get(replica)?.record.epoch !== epoch;
    });
  }

  /** Makes instances leave replicas whose head may be open out of reach. */
  #orderStrays(nowMs: number): readonly Effect.Effect<unknown>[] {
    return this.#options.instances.list().flatMap((instance) => {
      const { id, membership } = instance;
      if (!this.#isStray(instance) || !this.#isAlive(id)) return [];
      const { replica, epoch } = membership!;
      return this.#send(id, { kind: "leave", replica, epoch }, { nowMs });
    });
  }

  /** Whether an instance is in a replica that no record tells of. */
  #isStray({ id, membership }: InstanceState): boolean {
    if (membership === undefined || membership.rank === 0) return false;
    const { replica, epoch } = membership;
    return !this.#runs.has(replica) && !this.#dissolved.has(replica) &&
      epoch > (this.#leftEpochs.get(id) ?? -1);
  }

  /** Whether an instance may be in an open replica, as far as is known. */
  #mayServe({ id, membership }: InstanceState): boolean {
    if (membership === undefined) return false;
    // The list may still tell what was before the instance left.
    if (membership.epoch <= (this.#leftEpochs.get(id) ?? -1)) return false;
    return membership.state === "open" || membership.state === "closing";
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
              if (run.retiring?.hasHeadLeft === true) {
                this.#dissolved.add(name);
              }
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
    this.#noteArrivals(nowMs);
    if (this.#busyRecords.size > 0) return [];
    const work: Effect.Effect<unknown>[] = [];
    for (const [service, engine] of this.#options.engines()) {
      const unsettled = this.#listUnsettledDomains(service);
      const free = this.#listFree(service).filter(({ domain }) =>
        !unsettled.has(domain!)
      );
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
        fill: (model, replicas) =>
          this.#options.demand(model) / (Math.max(1, replicas) * engine.slots),
        preparedModel: (id) => this.#preparing.get(id),
        isFilled: (domain) => this.#isFilled(domain, nowMs),
      });
      if (formations.length > 0) {
        work.push(this.#form(formations));
        continue;
      }
      work.push(
        ...this.#prepareSpares(engine, free, nowMs),
        ...this.#crossStage(service, engine, nowMs),
      );
    }
    return work;
  }

  /** Domains in which a free instance is doubted and not yet decided on. */
  #listUnsettledDomains(service: string): ReadonlySet<string> {
    const used = this.#memberIds();
    const unsettled = new Set<string>();
    for (const instance of this.#options.instances.list()) {
      const { id, domain } = instance;
      if (instance.service !== service || domain === undefined) continue;
      if (used.has(id) || !this.#liveness.isDoubted(id)) continue;
      if (this.#isAlive(id)) unsettled.add(domain);
    }
    return unsettled;
  }

  /** Whether instances still arrive in a row, by domain, as after a start. */
  #noteArrivals(nowMs: number): void {
    for (const instance of this.#options.instances.list()) {
      const { id, domain, bornAtMs, loadedModel, membership } = instance;
      if (domain === undefined) continue;
      const life = `${id} ${bornAtMs ?? ""}`;
      if (this.#seenLives.get(id) === life) {
        if (loadedModel !== undefined && membership?.state !== "joining") {
          this.#lastModels.set(id, loadedModel);
          this.#preparing.delete(id);
        }
        continue;
      }
      if (this.#seenLives.has(id)) this.#lastModels.delete(id);
      this.#preparing.delete(id);
      this.#seenLives.set(id, life);
      this.#arrivedAtMs.set(domain, nowMs);
    }
  }

  #isFilled(domain: string, nowMs: number): boolean {
    return nowMs - (this.#arrivedAtMs.get(domain) ?? 0) >= GATHER_MS ||
      nowMs - this.#startedAtMs < GATHER_MS && this.#runs.size > 0;
  }

  #listFree(service: string): readonly InstanceState[] {
    const used = this.#memberIds();
    return this.#options.instances.list().filter((instance) =>
      instance.service === service && !instance.isDraining &&
      !used.has(instance.id) &&
      !this.#liveness.isDoubted(instance.id) && instance.domain !== undefined &&
      !this.#mayServe(instance) && !this.#isStray(instance)
    );
  }

  #form(formations: readonly Formation[]): Effect.Effect<void> {
    const token = "formations";
    this.#busyRecords.add(token);
    const { recorder, record } = this.#options;
    const formOne = (formation: Formation) =>
      recorder.form(formation).pipe(
        Effect.matchEffect({
          onSuccess: (replica) =>
            Effect.sync(() => {
              this.#fence = Math.max(this.#fence, replica.epoch);
              this.#runs.set(replica.name, createRun(replica));
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
      free: free.filter(({ domain }) => this.#isFilled(domain!, nowMs)),
      hotModel: (id) => this.#hotModel(id),
      preparedModel: (id) => this.#preparing.get(id),
      epoch: this.#fence,
    }).flatMap(({ instance, order }) =>
      this.#send(instance.id, order, { nowMs })
    );
  }

  /** Loads don't count before the first request. */
  #crossStage(
    service: string,
    engine: EngineSpec,
    nowMs: number,
  ): readonly Effect.Effect<unknown>[] {
    if (this.#options.hasTraffic()) return [];
    const isStaging = (id: string) =>
      nowMs - (this.#stagingSinceMs.get(id) ?? -STAGING_MS) < STAGING_MS &&
      !this.#isStaged(id);
    const underWay = [...this.#stagingSinceMs.keys()].filter(isStaging).length;
    return planCrossStaging({
      models: engine.models,
      replicas: [...this.#runs.values()]
        .filter(({ record, retiring }) =>
          record.service === service && retiring === undefined
        )
        .map(({ record }) => record),
      findInstance: (id) => this.#options.instances.find(id),
    }).filter(({ instance }) => !this.#stagingSinceMs.has(instance.id))
      .slice(0, Math.max(0, engine.loadsAtOnce - underWay))
      .flatMap(({ instance, order }) =>
        this.#send(instance.id, order, { nowMs })
      );
  }

  /** Whether a host holds other weights than its instance has in memory. */
  #isStaged(id: string): boolean {
    const staged = this.#options.instances.find(id)?.stagedModels ?? [];
    const hot = this.#hotModel(id);
    return staged.some((model) => model !== hot);
  }

  #hotModel(instanceId: string): string | undefined {
    return this.#lastModels.get(instanceId);
  }

  /** Sends an order, unless one was sent just now or may not load yet. */
  #send(
    instanceId: string,
    order: InstanceOrder,
    { nowMs, run }: { readonly nowMs: number; readonly run?: ReplicaRun },
  ): readonly Effect.Effect<unknown>[] {
    const address = this.#findAddress(instanceId);
    if (address === undefined) return [];
    const key = `${instanceId} ${order.kind} ${run?.record.name ?? order.kind}`;
    const repeatMs = run !== undefined
      ? ORDER_REPEAT_MS
      : order.kind === "stage"
      ? STAGE_REPEAT_MS
      : SPARE_REPEAT_MS;
    if (nowMs - (this.#orderedAtMs.get(key) ?? -repeatMs) < repeatMs) {
      return [];
    }
    if (this.#needsLoad(instanceId, order) && !this.#tryBeginLoad(nowMs)) {
      return [];
    }
    this.#orderedAtMs.set(key, nowMs);
    if (order.kind === "stage") this.#stagingSinceMs.set(instanceId, nowMs);
    if (order.kind === "open" && run !== undefined) run.mayBeOpen = true;
    return [
      this.#options.control.sendOrder({ id: instanceId, address }, {
        ...order,
        fence: this.#fence,
      }).pipe(
        Effect.match({
          onSuccess: (outcome) =>
            this.#noteOrdered({
              instanceId,
              order,
              outcome,
              key,
              ...(run ? { run } : {}),
            }),
          onFailure: ({ message, isRefused }) => {
            this.#liveness.noteDoubt(instanceId);
            if (isRefused) {
              this.#liveness.noteProbeFailed(instanceId, { isRefused });
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

  #noteOrdered({ instanceId, order, outcome, key, run }: OrderedStep): void {
    const { kind } = order;
    this.#options.record("order.answered", {
      instanceId,
      order: kind,
      replica: run?.record.name,
      outcome,
    });
    const isTaken = outcome === "begun" || outcome === "holds";
    if (order.kind === "join" && isTaken) {
      if (run === undefined) this.#preparing.set(instanceId, order.model);
      else this.#preparing.delete(instanceId);
      run?.joinedIds.add(instanceId);
    }
    if (order.kind === "leave" && outcome !== "elsewhere") {
      this.#leftEpochs.set(instanceId, order.epoch);
    }
    const retiring = run?.retiring;
    if (retiring === undefined || run === undefined) return;
    if (kind === "leave" && outcome !== "elsewhere") {
      run.leftIds.add(instanceId);
    }
    if (instanceId !== run.record.members[0]) return;
    if (kind === "close" && (outcome === "holds" || outcome === "unfit")) {
      retiring.isClosed = true;
    }
    // A closing that began is soon asked for again; the list tells it too.
    if (order.kind === "close" && outcome === "begun") {
      retiring.hasBegunClosing = true;
      if (order.isImmediate) {
        const atMs = this.#orderedAtMs.get(key) ?? 0;
        this.#orderedAtMs.set(key, atMs - ORDER_REPEAT_MS + CLOSING_CHECK_MS);
      }
    }
    if (kind === "leave" && outcome !== "unfit") {
      retiring.hasHeadLeft = true;
      retiring.isFreed = true;
    }
    if (outcome === "outdated" || outcome === "elsewhere") {
      retiring.isFreed = true;
    }
  }

  #needsLoad(instanceId: string, order: InstanceOrder): boolean {
    if (order.kind !== "stage" && order.kind !== "join") return false;
    const staged = this.#findLatest(instanceId)?.stagedModels ?? [];
    if (staged.includes(order.model)) return false;
    return order.kind === "stage" || this.#hotModel(instanceId) !== order.model;
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

  #isAlive(instanceId: string): boolean {
    return this.#liveness.livenessOf(instanceId).kind === "alive";
  }

  /** Where an instance is or last was. */
  #findAddress(id: string): string | undefined {
    const address = this.#findLatest(id)?.address;
    if (address !== undefined) return address;
    for (const { record } of this.#runs.values()) {
      const life = record.lives[id];
      if (life !== undefined) return life.address;
    }
    return undefined;
  }
}

interface OrderedStep {
  readonly instanceId: string;
  readonly order: InstanceOrder;
  readonly outcome: OrderOutcome;
  readonly key: string;
  readonly run?: ReplicaRun;
}

function createRun(record: ReplicaRecord): ReplicaRun {
  return {
    record,
    joinedIds: new Set(),
    readyIds: new Set(),
    leftIds: new Set(),
    mayBeOpen: false,
  };
}
