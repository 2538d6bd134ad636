import { Effect, type Scope } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import { steadyMs } from "../clock/index.ts";
import type { InstanceControl, OrderAnswer } from "./instance_orders.ts";
import type { InstanceListView } from "./instance_list.ts";
import { findReplaceable } from "./find_replaceable.ts";
import { FleetState } from "./fleet_state.ts";
import { type DispatchedOrder, OrderDispatcher } from "./order_dispatcher.ts";
import { type EngineSpecs, ReplicaFormer } from "./replica_former.ts";
import { noteRecordFailure, type ReplicaRecorder } from "./replica_recorder.ts";
import type { ReplicaRecord } from "./replica_record.ts";
import { InstanceProber } from "./instance_prober.ts";
import { listLeftoverOrders } from "./list_leftover_orders.ts";
import { noteRetiringOrder } from "./note_retiring_order.ts";
import {
  planRun,
  recordRetiring,
  type ReplicaRun,
  retireReplica,
} from "./replica_run.ts";

/** What directing the replicas works with. */
export interface ReplicaControllerOptions {
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
  /** Time for which an instance that drains works on at least. */
  readonly drainMs: number;
  /** Whether nothing is to be sent to a zone; by default none is evacuated. */
  readonly isEvacuated?: (zone: string) => boolean;
  /** Whether an instance asked this machine for time. */
  readonly isBackingOff: (instanceId: string) => boolean;
  /** Takes note of the time for which an instance said that it stays cold. */
  readonly onColdReported?: (instanceId: string, coldMs: number) => void;
  /** Takes note that an instance said that it leaves. */
  readonly onLeaving: (instanceId: string) => void;
  /** Takes note that an order was refused, as if another process directed. */
  readonly onOutdated: () => void;
  readonly record: RecordEvent;
}

/** Longest time between two rounds, and the steps in which a round can start. */
const TICK_MS = 60;
const STEP_MS = 10;

/** Forms, opens, repairs and takes apart replicas until the scope closes. */
export class ReplicaController {
  readonly #options: ReplicaControllerOptions;
  readonly #state: FleetState;
  readonly #dispatcher: OrderDispatcher;
  readonly #former: ReplicaFormer;
  readonly #prober: InstanceProber;
  /** Replicas whose record is being removed. */
  readonly #retiringNames = new Set<string>();
  /** Whether an order, record or probe came to something since the last round. */
  #isChanged = true;

  constructor(options: ReplicaControllerOptions) {
    this.#options = options;
    this.#state = new FleetState(options);
    this.#dispatcher = this.#createDispatcher();
    this.#prober = new InstanceProber({ ...options, state: this.#state });
    this.#former = new ReplicaFormer({
      ...options,
      state: this.#state,
      dispatcher: this.#dispatcher,
      isRetiring: () => this.#retiringNames.size > 0,
    });
  }

  /** Takes note that requests at the head of a replica stand still. */
  reportStalledHead(headId: string): void {
    for (const id of this.#state.listMembersOf(headId)) {
      this.#state.liveness.noteDoubt(id);
    }
  }

  /** Takes note that the replica of a head was found slow. */
  reportSlowHead(headId: string): void {
    for (const id of this.#state.listMembersOf(headId)) {
      this.#state.paces.noteSuspected(id);
    }
  }

  /** Heads to which no requests should go. */
  listClosedHeads(): readonly string[] {
    const retiring = [...this.#state.runs.values()]
      .filter((run) => run.retiring !== undefined)
      .map(({ record }) => record.members[0]!);
    return [...retiring, ...this.#state.listOrphans().map(({ id }) => id)];
  }

  /** Time until a replica is expected, by model that has none that serves. */
  expectedMs(nowMs: number): Readonly<Record<string, number>> {
    return this.#former.expectedMs(nowMs);
  }

  /** Runs until the scope closes. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      let workedAtMs = Number.NEGATIVE_INFINITY;
      let revision = -1;
      while (true) {
        const nowMs = yield* steadyMs;
        const { instances } = this.#options;
        const isDue = this.#isChanged || instances.revision !== revision ||
          nowMs - workedAtMs >= TICK_MS;
        if (instances.isLoaded && isDue) {
          if (revision < 0) this.#prober.doubtRecorded();
          this.#isChanged = false;
          revision = instances.revision;
          workedAtMs = nowMs;
          this.#replaceSlow(nowMs);
          const work = [
            ...this.#prober.probe(nowMs),
            ...this.#orderRuns(nowMs),
            ...listLeftoverOrders(this.#state, nowMs).flatMap((order) =>
              this.#dispatcher.send(order, nowMs)
            ),
            ...this.#former.plan(nowMs),
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

  /** Takes replicas with a slow member apart where spares stand by. */
  #replaceSlow(nowMs: number): void {
    const runs = [...this.#state.runs.values()]
      .filter((run) => !this.#state.isEvacuated(run));
    const isSlow = (id: string) => this.#state.paces.isSlow(id);
    if (!runs.some(({ record }) => record.members.some(isSlow))) return;
    for (const service of this.#options.engines().keys()) {
      const found = findReplaceable({
        runs: runs.filter(({ record }) => record.service === service),
        free: this.#state.listFree(service),
        findInstance: (id) => this.#state.findLatest(id),
        isSlow,
        hotModel: (id) => this.#state.weights.hotModel(id),
      });
      for (const { run, slowId } of found) {
        const reason = `${slowId} is slow`;
        const { record } = this.#options;
        retireReplica(run, { reason, nowMs, record });
      }
    }
  }

  /** Orders that the replicas' states ask for. */
  #orderRuns(nowMs: number): readonly Effect.Effect<unknown>[] {
    return [...this.#state.runs.values()].flatMap((run) => {
      const wasRetiring = run.retiring !== undefined;
      const due = planRun({
        run,
        findInstance: (id) => this.#state.findLatest(id),
        isListed: (id) => this.#options.instances.find(id) !== undefined,
        liveness: (id) => this.#state.liveness.livenessOf(id),
        drainMs: this.#options.drainMs,
        nowMs,
      });
      if (!wasRetiring && run.retiring !== undefined) {
        recordRetiring(run, this.#options.record);
      }
      if (run.retiring?.isFreed === true) return this.#retire(run);
      const isEvacuated = this.#state.isEvacuated(run);
      return due.filter(({ order }) => order.kind !== "open" || !isEvacuated)
        .flatMap(({ instanceId, order }) =>
          this.#dispatcher.send({ instanceId, order, run }, nowMs)
        );
    });
  }

  #retire(run: ReplicaRun): readonly Effect.Effect<unknown>[] {
    const { name } = run.record;
    if (this.#retiringNames.has(name)) return [];
    this.#retiringNames.add(name);
    return [
      this.#options.recorder.retire(name).pipe(
        Effect.matchEffect({
          onSuccess: () =>
            Effect.sync(() => {
              this.#state.runs.delete(name);
              if (run.retiring?.hasHeadLeft === true) {
                this.#state.departures.noteDissolved(name);
              }
              this.#options.record("replica.retired", { replica: name });
            }),
          onFailure: ({ message }) =>
            noteRecordFailure(this.#options.record, { replica: name, message }),
        }),
        Effect.ensuring(
          Effect.sync(() => {
            this.#retiringNames.delete(name);
          }),
        ),
      ),
    ];
  }

  #createDispatcher(): OrderDispatcher {
    const { control, engines, hasTraffic, record } = this.#options;
    return new OrderDispatcher({
      control,
      fence: () => this.#state.fence,
      findAddress: (id) => this.#state.findAddress(id),
      findInstance: (id) => this.#state.findLatest(id),
      hotModel: (id) => this.#state.weights.hotModel(id),
      loadBounds: () => hasTraffic() ? [...engines().values()][0] : undefined,
      onSent: ({ instanceId, order, run }, nowMs) => {
        if (order.kind === "stage") {
          this.#state.weights.noteStaging(instanceId, nowMs);
        }
        if (order.kind === "open" && run !== undefined) run.mayBeOpen = true;
      },
      onAnswered: (order, answer, sentAtMs) =>
        this.#noteOrdered(order, answer, sentAtMs),
      onSilent: ({ instanceId, order }, { message, isRefused }) => {
        this.#state.liveness.noteDoubt(instanceId);
        if (isRefused) {
          this.#state.liveness.noteProbeFailed(instanceId, { isRefused });
        }
        record("order.unanswered", { instanceId, order: order.kind, message });
      },
    });
  }

  #noteOrdered(
    dispatcher: DispatchedOrder,
    { outcome, isLeaving }: OrderAnswer,
    sentAtMs: number,
  ): void {
    const { instanceId, order, run } = dispatcher;
    if (isLeaving) this.#options.onLeaving(instanceId);
    if (outcome === "outdated") this.#options.onOutdated();
    this.#options.record("order.answered", {
      instanceId,
      order: order.kind,
      replica: run?.record.name,
      outcome,
    });
    const isTaken = outcome === "begun" || outcome === "holds";
    if (order.kind === "join" && isTaken) {
      this.#state.weights.noteJoin(instanceId, {
        preparedModel: run === undefined ? order.model : undefined,
        nowMs: sentAtMs,
      });
      run?.joinedIds.add(instanceId);
    }
    if (order.kind === "leave" && (isTaken || outcome === "unfit")) {
      this.#state.departures.noteLeft(instanceId, order.epoch);
    }
    if (run !== undefined) noteRetiringOrder(run, dispatcher, outcome);
  }
}
