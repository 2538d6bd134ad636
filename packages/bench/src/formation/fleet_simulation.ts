import { FakeEngine, FakeWeightStore } from "@celerytray/fakes";
import type { ConfigSet, Instance, LogRecord } from "@celerytray/schema";
import {
  createOrders,
  createPreloads,
  emptyFleetState,
  findReplicaHealth,
  type FleetObservation,
  type FleetProposal,
  foldFleetRecord,
  isLoading,
  type MemberObservation,
  type OrderInput,
  type ReplicaPlanner,
  selectOrders,
} from "celerytray";
import { HashMap } from "effect";
import type { Fault } from "./fault_day.ts";

/** Options of a fleet simulation. */
export interface FleetSimulationOptions {
  readonly config: ConfigSet;
  readonly instances: readonly Instance[];
  readonly planner: ReplicaPlanner;
  /** Whether loads are limited and start in order of gain, not all at once. */
  readonly selectsLoads: boolean;
  /** Whether weights are loaded into spare instances ahead of repairs. */
  readonly preloads: boolean;
  readonly faults: readonly Fault[];
  readonly loadMs: number;
  readonly fullRateLoads: number;
}

/** Sums over the measured time. */
export interface FleetFigures {
  /** Time of wanted or formed replicas that were not ready, summed over replicas. */
  groupDowntimeMs: number;
  /** Time of instances that are up but in no ready replica. */
  strandedInstanceMs: number;
  /** Time of wanted replicas that were not ready, summed over replicas. */
  shortfallMs: number;
  /** Time of ready replicas with a member under a fault. */
  slowReplicaMs: number;
  recordCount: number;
}

const MAX_OBSERVATION_AGE_MS = 2_500;
const HEALTHY_STEP_MS = 30;
const SLOW_STEP_MS = 120;

/** Simulates engines, log and weight store in virtual time. */
export class FleetSimulation {
  readonly figures: FleetFigures = {
    groupDowntimeMs: 0,
    strandedInstanceMs: 0,
    shortfallMs: 0,
    slowReplicaMs: 0,
    recordCount: 0,
  };
  readonly #options: FleetSimulationOptions;
  readonly #store: FakeWeightStore;
  readonly #engines = new Map<string, FakeEngine>();
  readonly #instances: ReadonlyMap<string, Instance>;
  readonly #observations = new Map<string, MemberObservation>();
  readonly #activeFaultsByEngine = new Map<string, Set<Fault>>();
  readonly #downInstances = new Set<string>();
  #fleet = emptyFleetState();

  constructor(options: FleetSimulationOptions) {
    this.#options = options;
    this.#store = new FakeWeightStore(options);
    this.#instances = new Map(
      options.instances.map((instance) => [instance.instanceId, instance]),
    );
    for (const instanceId of this.#instances.keys()) {
      const engine = new FakeEngine({
        instanceId,
        weightStore: this.#store,
      });
      engine.faults = { stepTimeMs: HEALTHY_STEP_MS };
      this.#engines.set(instanceId, engine);
      this.#activeFaultsByEngine.set(instanceId, new Set());
    }
  }

  /** Reads statuses, plans and sends orders; true if it proposed or ordered anything. */
  runRound(nowMs: number): boolean {
    this.#readStatuses(nowMs);
    const observation: FleetObservation = {
      config: this.#options.config,
      fleet: this.#fleet,
      instances: this.#options.instances,
      observations: this.#observations,
      nowMs,
    };
    this.#options.planner.observe(observation);
    const proposals = this.#options.planner.plan(observation);
    for (const proposal of proposals) this.#appendProposal(proposal, nowMs);
    const orderCount = this.#sendOrders(nowMs);
    return proposals.length > 0 || orderCount > 0;
  }

  /** Adds the current state to the figures, over the time to the next round. */
  addToFigures(nowMs: number, durationMs: number): void {
    const { config } = this.#options;
    const serving = new Map<string, number>();
    const formed = new Map<string, number>();
    let servingInstances = 0;
    for (const replica of HashMap.values(this.#fleet.replicas)) {
      increment(formed, replica.service);
      const { state } = findReplicaHealth(replica, {
        observations: this.#observations,
        nowMs,
        maxAgeMs: MAX_OBSERVATION_AGE_MS,
      });
      if (state !== "ready") continue;
      increment(serving, replica.service);
      servingInstances += replica.members.length;
      if (replica.members.some((member) => this.#hasFault(member))) {
        this.figures.slowReplicaMs += durationMs;
      }
    }
    for (const [name, service] of Object.entries(config.services)) {
      const count = serving.get(name) ?? 0;
      const expectedCount = Math.max(
        service.replicaCount,
        formed.get(name) ?? 0,
      );
      const missingCount = Math.max(0, service.replicaCount - count);
      this.figures.groupDowntimeMs += (expectedCount - count) * durationMs;
      this.figures.shortfallMs += missingCount * durationMs;
    }
    const upInstances = [...this.#engines.keys()].filter((id) =>
      this.#isUp(id)
    );
    this.figures.strandedInstanceMs += durationMs *
      Math.max(0, upInstances.length - servingInstances);
  }

  startFault(fault: Fault, nowMs: number): void {
    if (fault.kind === "store") this.#store.setOutage(true, nowMs);
    for (const instanceId of this.#findTargets(fault)) {
      this.#activeFaultsByEngine.get(instanceId)!.add(fault);
      this.#updateDown(instanceId);
      const engine = this.#engines.get(instanceId)!;
      if (restartsEngine(fault)) engine.restart(nowMs);
      if (fault.kind === "straggler") {
        engine.faults = { stepTimeMs: SLOW_STEP_MS };
      }
    }
  }

  endFault(fault: Fault, nowMs: number): void {
    if (fault.kind === "store") this.#store.setOutage(false, nowMs);
    for (const instanceId of this.#findTargets(fault)) {
      this.#activeFaultsByEngine.get(instanceId)!.delete(fault);
      this.#updateDown(instanceId);
      const engine = this.#engines.get(instanceId)!;
      if (fault.kind === "straggler") {
        engine.faults = { stepTimeMs: HEALTHY_STEP_MS };
      }
    }
  }

  /** Whether any engine loads weights. */
  isLoading(): boolean {
    for (const { status } of this.#observations.values()) {
      if (isLoading(status)) return true;
    }
    return false;
  }

  #readStatuses(nowMs: number): void {
    for (const [instanceId, engine] of this.#engines) {
      if (!this.#isUp(instanceId)) continue;
      const status = engine.status(nowMs);
      this.#observations.set(instanceId, { status, observedAtMs: nowMs });
    }
  }

  #appendProposal(proposal: FleetProposal, nowMs: number): void {
    const offset = this.#fleet.offset + 1;
    const ids = { recordId: String(offset), proposer: "bench" };
    const record = { ...proposal, ...ids } as LogRecord;
    const entry = { offset, appendedAtMs: nowMs, record };
    this.#fleet = foldFleetRecord(this.#fleet, entry);
    this.figures.recordCount += 1;
  }

  #sendOrders(nowMs: number): number {
    const { config, selectsLoads, fullRateLoads } = this.#options;
    const input: OrderInput = {
      fleet: this.#fleet,
      instances: this.#instances,
      observations: this.#observations,
      findService: (name) => {
        const service = config.services[name];
        return service?.kind === "model" ? service : undefined;
      },
    };
    const serviceNames = Object.keys(config.services);
    const preloads = this.#options.preloads
      ? createPreloads({ ...input, serviceNames, nowMs })
      : [];
    const allOrders = [...createOrders(input), ...preloads];
    const orders = selectsLoads
      ? selectOrders({
        orders: allOrders,
        config,
        fleet: this.#fleet,
        observations: this.#observations,
        domainOf: (id) => this.#instances.get(id)?.fabricDomain ?? "",
        nowMs,
        maxConcurrentLoads: fullRateLoads,
      })
      : allOrders;
    let count = 0;
    for (const { instanceId, order } of orders) {
      if (!this.#isUp(instanceId)) continue;
      this.#engines.get(instanceId)!.applyOrder(order, nowMs);
      count += 1;
    }
    return count;
  }

  #isUp(instanceId: string): boolean {
    return !this.#downInstances.has(instanceId);
  }

  #updateDown(instanceId: string): void {
    const faults = [...this.#activeFaultsByEngine.get(instanceId)!];
    const isDown = faults.some(({ kind }) => kind !== "straggler");
    if (isDown) this.#downInstances.add(instanceId);
    else this.#downInstances.delete(instanceId);
  }

  #hasFault(instanceId: string): boolean {
    return this.#activeFaultsByEngine.get(instanceId)!.size > 0;
  }

  #findTargets(fault: Fault): string[] {
    if (fault.kind === "store") return [];
    if (fault.kind !== "dark") return [fault.target];
    return this.#options.instances
      .filter(({ fabricDomain }) => fabricDomain === fault.target)
      .map(({ instanceId }) => instanceId);
  }
}

function restartsEngine({ kind }: Fault): boolean {
  return kind === "death" || kind === "restart" || kind === "dark";
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
