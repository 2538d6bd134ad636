import { Effect, type Scope } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { LogPosition } from "../keyed_log/index.ts";
import { steadyMs } from "../clock/index.ts";
import type {
  InstanceAddress,
  InstanceControl,
  OrderAnswer,
} from "./instance_orders.ts";
import type { InstanceListView } from "./instance_list.ts";
import { giveUpReplica } from "./give_up_replica.ts";
import { findReplaceable } from "./find_replaceable.ts";
import { ControllerState } from "./controller_state.ts";
import { type DispatchedOrder, OrderDispatcher } from "./order_dispatcher.ts";
import { type EngineSpecs, FormationPlanner } from "./formation_planner.ts";
import type { ReplicaRecorder } from "./replica_recorder.ts";
import type { ReplicaRecord } from "./replica_record.ts";
import { InstanceProber } from "./instance_prober.ts";
import { findReaches, type Reaches } from "./find_reaches.ts";
import { LeadProof } from "./lead_proof.ts";
import { LossCheck } from "./loss_check.ts";
import { listOrphanOrders } from "./list_orphan_orders.ts";
import { applyRetirementOutcome } from "./apply_retirement_outcome.ts";
import type { ReplicaRun } from "./replica_progress.ts";
import { planRunOrders, recordRetiring } from "./replica_run.ts";
import { StoredReplicas } from "./stored_replicas.ts";

/** Dependencies and settings of a replica controller. */
export interface ReplicaControllerOptions {
  /** Term of this leader: the log position that follows its leader record. */
  readonly term: LogPosition;
  readonly replicas: readonly ReplicaRecord[];
  /**
   * Names of replicas that are known to be retired, although the list may show
   * their members and the store may have had their records.
   */
  readonly retiredNames?: readonly string[];
  readonly instances: InstanceListView;
  readonly control: InstanceControl;
  readonly recorder: ReplicaRecorder;
  /**
   * Asks other processes whether they reach instances; those that don't answer
   * are left out.
   */
  readonly askOthers: (
    instances: readonly InstanceAddress[],
  ) => Effect.Effect<readonly Reaches[]>;
  /**
   * Times since which instances have not answered this process; by default all
   * have.
   */
  readonly silentSinceMs?: ReadonlyMap<string, number>;
  /** Whether a head has sent this process an event within the last second. */
  readonly hasWritten?: (headId: string) => boolean;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  /** Engine specifications of the model services. */
  readonly engines: () => EngineSpecs;
  /** Number of requests in progress for a model, over all processes. */
  readonly demand: (model: string) => number;
  /** Whether any caller has sent a request yet. */
  readonly hasTraffic: () => boolean;
  /** Minimum time for which a draining instance keeps working. */
  readonly drainMs: number;
  /** Longest time for which a request to a service may run. */
  readonly longestCallMs: (service: string) => number;
  /** Whether a zone is evacuated; by default no zone is. */
  readonly isEvacuated?: (zone: string) => boolean;
  /** Whether an instance asked this machine to back off. */
  readonly isBackingOff: (instanceId: string) => boolean;
  /** Called with the time for which an instance reports that it stays cold. */
  readonly onColdReported?: (instanceId: string, coldMs: number) => void;
  /** Called when an instance reports that it is leaving. */
  readonly onLeaving: (instanceId: string) => void;
  /** Called when an order or the list indicates that a newer leader exists. */
  readonly onOutdated: () => void;
  readonly record: RecordEvent;
}

/** Maximum time between two control rounds. */
const MAX_ROUND_INTERVAL_MS = 60;
/** Interval at which the controller checks whether a round is due. */
const CHANGE_CHECK_INTERVAL_MS = 10;

/**
 * Forms, opens, replaces and retires replicas. Runs in the leader process only.
 */
export class ReplicaController {
  readonly #options: ReplicaControllerOptions;
  readonly #state: ControllerState;
  readonly #dispatcher: OrderDispatcher;
  readonly #formationPlanner: FormationPlanner;
  readonly #prober: InstanceProber;
  readonly #lossCheck: LossCheck;
  readonly #stored: StoredReplicas;
  /** Names of serving replicas that are about to be retired. */
  readonly #givingUpNames = new Set<string>();
  /** Whether an order, record or probe has finished since the last round. */
  #isChanged = true;

  constructor(options: ReplicaControllerOptions) {
    this.#options = options;
    this.#state = new ControllerState(options);
    this.#dispatcher = this.#createDispatcher();
    this.#prober = new InstanceProber({ ...options, state: this.#state });
    this.#lossCheck = new LossCheck({
      ...options,
      state: this.#state,
      findReaches: (asked) => findReaches(asked, options),
    });
    this.#stored = new StoredReplicas({ ...options, state: this.#state });
    this.#formationPlanner = new FormationPlanner({
      ...options,
      state: this.#state,
      dispatcher: this.#dispatcher,
      isRetiring: () => this.#stored.isRetiring,
    });
  }

  /** Reports that requests at the head of a replica are stalled. */
  reportStalledHead(headId: string): void {
    for (const id of this.#state.listMembersOf(headId)) {
      this.#state.liveness.noteSuspected(id);
    }
  }

  /** Reports that the replica of a head is slow. */
  reportSlowHead(headId: string): void {
    for (const id of this.#state.listMembersOf(headId)) {
      this.#state.slowInstances.noteSuspected(id);
    }
  }

  /** Identifiers of the heads to which no requests may be sent. */
  listClosedHeads(): readonly string[] {
    const retiring = [...this.#state.runs.values()]
      .filter((run) => run.retirement !== undefined)
      .map(({ record }) => record.members[0]!);
    return [...retiring, ...this.#state.listOrphans().map(({ id }) => id)];
  }

  /**
   * Identifiers of the heads of serving replicas with a silent member. No new
   * work should go there until it answers or is known to be lost.
   */
  listSilentHeads(): readonly string[] {
    const isSilent = (id: string) =>
      this.#state.liveness.livenessOf(id).kind === "silent";
    return [...this.#state.runs.values()].filter(({ record, retirement }) =>
      retirement === undefined && record.members.some(isSilent)
    ).map(({ record }) => record.members[0]!);
  }

  /** Records of the replicas that there are, those being retired included. */
  listReplicas(): readonly ReplicaRecord[] {
    return [...this.#state.runs.values()].map(({ record }) => record);
  }

  /** Estimated time until a replica serves, by model without a serving one. */
  expectedMs(nowMs: number): Readonly<Record<string, number>> {
    return this.#formationPlanner.expectedMs(nowMs);
  }

  /** Runs control rounds until the scope closes. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      let lastRoundAtMs = Number.NEGATIVE_INFINITY;
      let revision = -1;
      while (true) {
        const nowMs = yield* steadyMs;
        const { instances } = this.#options;
        if (this.#state.liveness.update(nowMs)) this.#isChanged = true;
        const isDue = this.#isChanged || instances.revision !== revision ||
          nowMs - lastRoundAtMs >= MAX_ROUND_INTERVAL_MS;
        if (instances.isLoaded && isDue) {
          if (revision < 0) this.#prober.suspectRecordedMembers();
          if (this.#state.hasLaterReplicas) this.#options.onOutdated();
          this.#isChanged = false;
          revision = instances.revision;
          lastRoundAtMs = nowMs;
          const effects = [
            ...this.#giveUpSlowReplicas(nowMs),
            ...this.#prober.probe(nowMs),
            ...this.#lossCheck.check(nowMs),
            ...this.#stored.restoreLost(nowMs),
            ...this.#planOrders(nowMs),
            ...this.#planOrphanOrders(nowMs),
            ...this.#formationPlanner.plan(nowMs),
          ];
          for (const effect of effects) {
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
        yield* Effect.sleep(CHANGE_CHECK_INTERVAL_MS);
      }
    });
  }

  /** Retires replicas with slow members where prepared spares are available. */
  #giveUpSlowReplicas(nowMs: number): readonly Effect.Effect<unknown>[] {
    const runs = [...this.#state.runs.values()]
      .filter((run) => !this.#state.isEvacuated(run));
    const isSlow = (id: string) => this.#state.slowInstances.isSlow(id);
    if (!runs.some(({ record }) => record.members.some(isSlow))) return [];
    return [...this.#options.engines().keys()].flatMap((service) => {
      const found = findReplaceable({
        runs: runs.filter(({ record }) => record.service === service),
        free: this.#state.listFree(service, nowMs),
        findInstance: (id) => this.#state.findLatest(id),
        isSlow,
        heldModel: (id) => this.#state.weights.heldModel(id),
      });
      return found
        .filter(({ run }) => !this.#givingUpNames.has(run.record.name))
        .map(({ run, slowId }) => this.#giveUp(run, `${slowId} is slow`));
    });
  }

  #giveUp(run: ReplicaRun, reason: string): Effect.Effect<void> {
    const { name } = run.record;
    this.#givingUpNames.add(name);
    return giveUpReplica(run, { ...this.#options, reason }).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.#givingUpNames.delete(name);
        }),
      ),
    );
  }

  /** Effects that send the orders due for the replicas' states. */
  #planOrders(nowMs: number): readonly Effect.Effect<unknown>[] {
    return [...this.#state.runs.values()].flatMap((run) => {
      const wasRetiring = run.retirement !== undefined;
      const due = planRunOrders({
        run,
        findInstance: (id) => this.#state.findLatest(id),
        isListed: (id) => this.#options.instances.find(id) !== undefined,
        liveness: (id) => this.#state.liveness.livenessOf(id),
        drainMs: this.#options.drainMs,
        longestCallMs: this.#options.longestCallMs(run.record.service),
        nowMs,
      });
      if (!wasRetiring && run.retirement !== undefined) {
        recordRetiring(run, this.#options.record);
      }
      if (run.retirement?.isComplete === true) return this.#stored.retire(run);
      const isEvacuated = this.#state.isEvacuated(run);
      return due.filter(({ order }) => order.kind !== "open" || !isEvacuated)
        .flatMap(({ instanceId, order }) =>
          this.#dispatcher.send({ instanceId, order, run }, nowMs)
        );
    });
  }

  #planOrphanOrders(nowMs: number): readonly Effect.Effect<unknown>[] {
    const { longestCallMs } = this.#options;
    return listOrphanOrders({ state: this.#state, longestCallMs, nowMs })
      .flatMap((order) => this.#dispatcher.send(order, nowMs));
  }

  #createDispatcher(): OrderDispatcher {
    const { control, engines, hasTraffic, record, recorder } = this.#options;
    return new OrderDispatcher({
      control,
      leadProof: new LeadProof(recorder),
      fencingNumber: () => this.#state.fencingNumber,
      findAddress: (id) => this.#state.findAddress(id),
      findInstance: (id) => this.#state.findLatest(id),
      heldModel: (id) => this.#state.weights.heldModel(id),
      loadBounds: () => hasTraffic() ? [...engines().values()][0] : undefined,
      onSent: ({ instanceId, order, run }, nowMs) => {
        if (order.kind === "stage") {
          this.#state.weights.noteStaging(instanceId, nowMs);
        }
        if (order.kind === "open" && run !== undefined) run.mayBeOpen = true;
      },
      onAnswered: (order, answer, sentAtMs) =>
        this.#handleAnswer(order, answer, sentAtMs),
      onSilent: ({ instanceId, order }, { message }) => {
        this.#state.liveness.noteSuspected(instanceId);
        record("order.unanswered", { instanceId, order: order.kind, message });
      },
      onUnproven: ({ instanceId, order }, failure) => {
        const message = `It was not sent: ${failure.message}`;
        record("order.unanswered", { instanceId, order: order.kind, message });
      },
    });
  }

  #handleAnswer(
    dispatched: DispatchedOrder,
    { outcome, isLeaving }: OrderAnswer,
    sentAtMs: number,
  ): void {
    const { instanceId, order, run } = dispatched;
    this.#state.liveness.noteAnswered(sentAtMs);
    if (isLeaving) this.#options.onLeaving(instanceId);
    if (outcome === "outdated") this.#options.onOutdated();
    this.#options.record("order.answered", {
      instanceId,
      order: order.kind,
      replica: run?.record.name,
      ...(order.kind === "close" ? { isImmediate: order.isImmediate } : {}),
      outcome,
    });
    const isAccepted = outcome === "begun" || outcome === "holds";
    if (order.kind === "join" && isAccepted) {
      this.#state.weights.noteJoin(instanceId, {
        preparingModel: run === undefined ? order.model : undefined,
        nowMs: sentAtMs,
      });
      run?.joinedIds.add(instanceId);
    }
    if (order.kind === "leave" && (isAccepted || outcome === "unfit")) {
      this.#state.departures.noteLeft(instanceId, order.epoch);
    }
    if (run !== undefined) applyRetirementOutcome(run, dispatched, outcome);
  }
}
