import type { EngineOrder, EngineStatus, LogRecord } from "@celerytray/schema";
import {
  createOrders,
  emptyFleetState,
  findReplicaHealth,
  type FleetState,
  foldFleetRecord,
  type MemberObservation,
  type Replica,
} from "celerytray";
import { expect } from "earl";
import { HashMap } from "effect";
import fc from "fast-check";
import { describe, it } from "node:test";
import { FakeEngine } from "./fake_engine.ts";

const ENGINES = ["a", "b", "c", "d", "e"];
const MAX_OBSERVATION_AGE_MS = 2_500;
const LOAD_MS = 100;

const action = fc.oneof(
  { weight: 3, arbitrary: step("propose", 30, 3) },
  { weight: 6, arbitrary: step("settle", 2, 0) },
  { weight: 2, arbitrary: step("order", 0, 3) },
  { weight: 6, arbitrary: step("deliver", 40, 0) },
  { weight: 1, arbitrary: step("preload", 4, 1) },
  { weight: 2, arbitrary: step("pause", 4, 0) },
  { weight: 4, arbitrary: step("resume", 4, 0) },
  { weight: 1, arbitrary: step("restart", 4, 0) },
  { weight: 4, arbitrary: step("read", 4, 0) },
  { weight: 3, arbitrary: step("arrive", 9, 0) },
  { weight: 2, arbitrary: step("advance", 2_000, 0) },
  { weight: 12, arbitrary: step("call", 9, 1) },
);

// Guards against a replica that counts as ready although a delayed order or status
// read has since given one of its members another assignment.
describe("stale orders", () => {
  for (const checksFencing of [true, false]) {
    const engines = checksFencing ? "check" : "ignore";
    it(`leave no replica ready with a member that lost its rank over 2.5 s ago, where engines ${engines} fencing`, () => {
      let callCount = 0;
      fc.assert(
        fc.property(
          fc.array(action, {
            minLength: 10,
            maxLength: 120,
            size: "max",
          }),
          (actions) => {
            const world = new SimulatedFleet(checksFencing);
            for (const each of actions) world.take(each);
            callCount += world.callCount;
          },
        ),
        { seed: 44, numRuns: 1_000 },
      );
      expect(callCount > 2_000).toEqual(true);
    });
  }
});

type Kind =
  | "propose"
  | "settle"
  | "order"
  | "deliver"
  | "preload"
  | "pause"
  | "resume"
  | "restart"
  | "read"
  | "arrive"
  | "advance"
  | "call";

interface Action {
  readonly kind: Kind;
  readonly value: number;
  /** Number of log records that the acting process has not read yet. */
  readonly lag: number;
}

function step(kind: Kind, max: number, maxLag: number): fc.Arbitrary<Action> {
  return fc.record({
    kind: fc.constant(kind),
    value: fc.nat({ max }),
    lag: fc.nat({ max: maxLag }),
  });
}

class SimulatedFleet {
  callCount = 0;
  readonly #engines: ReadonlyMap<string, FakeEngine>;
  readonly #paused = new Set<string>();
  readonly #states: FleetState[] = [emptyFleetState()];
  readonly #sent: { readonly to: string; readonly order: EngineOrder }[] = [];
  readonly #observations = new Map<string, MemberObservation>();
  readonly #pendingReads: MemberObservation[] = [];
  /** The actual status of each engine at each read. */
  readonly #actualStatuses: {
    readonly atMs: number;
    readonly status: EngineStatus;
  }[] = [];
  #nowMs = 0;

  constructor(checksFencing: boolean) {
    this.#engines = new Map(ENGINES.map((instanceId) => [
      instanceId,
      new FakeEngine({ instanceId, checksFencing, loadMs: LOAD_MS }),
    ]));
  }

  take({ kind, value, lag }: Action): void {
    const engine = ENGINES[value % ENGINES.length]!;
    const sent = this.#sent[value % Math.max(1, this.#sent.length)];
    if (kind === "propose") this.#propose(value, lag);
    if (kind === "order") this.#order(lag);
    if (kind === "deliver" && sent !== undefined) this.#deliver(sent);
    if (kind === "pause") this.#paused.add(engine);
    if (kind === "resume") this.#paused.delete(engine);
    if (kind === "restart") this.#engines.get(engine)!.restart(this.#nowMs);
    if (kind === "read") this.#startRead(engine);
    if (kind === "arrive") this.#arrive();
    if (kind === "advance") this.#nowMs += value;
    if (kind === "settle") this.#settle(value === 0);
    if (kind === "call") this.#call(value, lag);
    if (kind === "preload") {
      this.#deliver({
        to: engine,
        order: { kind: "preload", fencingNumber: 0, model: "m", rank: lag },
      });
    }
  }

  #viewWithLag(lag: number): FleetState {
    return this.#states.at(Math.max(-this.#states.length, -1 - lag))!;
  }

  #propose(value: number, lag: number): void {
    const known = this.#viewWithLag(lag);
    const replicas = [...HashMap.values(known.replicas)];
    const free = ENGINES.filter((name) =>
      !HashMap.has(known.replicaIdByMember, name)
    );
    const replica = replicas[value % Math.max(1, replicas.length)];
    const ids = { recordId: "r", proposer: "p", service: "s" };
    const change = { ...ids, reason: "test" };
    const candidate = free[0] ?? ENGINES[value % ENGINES.length]!;
    if (value % 3 === 0 || replica === undefined) {
      const members: [string, ...string[]] = [candidate, free[1] ?? "a"];
      this.#append({ ...ids, kind: "form", slot: value % 2, members });
      return;
    }
    const { slot, fencingNumber } = replica;
    const members: [string, ...string[]] = [replica.members[0]!, candidate];
    this.#append(
      value % 3 === 1
        ? { ...change, kind: "replace", slot, fencingNumber, members }
        : { ...change, kind: "dissolve", slot, fencingNumber },
    );
  }

  #append(record: LogRecord): void {
    const state = this.#viewWithLag(0);
    const offset = state.offset + 1;
    const entry = { offset, appendedAtMs: this.#nowMs, record };
    this.#states.push(foldFleetRecord(state, entry));
  }

  #order(lag: number): void {
    const orders = createOrders({
      fleet: this.#viewWithLag(lag),
      instances: new Map(ENGINES.map((instanceId) => [instanceId, {
        instanceId,
        role: "engine",
        address: instanceId,
        availabilityZone: "kth-a",
        state: "live",
      }])),
      observations: this.#observations,
      findService: () => ({
        kind: "model",
        deployment: "d",
        replicaCount: 2,
        instancesPerReplica: 2,
        model: "m",
      }),
    });
    for (const { instanceId, order } of orders) {
      this.#sent.push({ to: instanceId, order });
    }
  }

  #deliver(
    { to, order }: { readonly to: string; readonly order: EngineOrder },
  ): void {
    if (this.#paused.has(to)) return;
    this.#engines.get(to)!.applyOrder(order, this.#nowMs);
  }

  #startRead(name: string): void {
    if (this.#paused.has(name)) return;
    const status = this.#engines.get(name)!.status(this.#nowMs);
    this.#actualStatuses.push({ atMs: this.#nowMs, status });
    this.#pendingReads.push({ status, observedAtMs: this.#nowMs });
  }

  #arrive(): void {
    for (const read of this.#pendingReads.splice(0)) {
      this.#observations.set(read.status.instanceId, read);
    }
  }

  #settle(isPartial: boolean): void {
    for (let round = 0; round < (isPartial ? 1 : 2); round++) {
      for (const name of ENGINES) this.#startRead(name);
      this.#arrive();
      const firstIndex = this.#sent.length;
      this.#order(0);
      for (const sent of this.#sent.slice(firstIndex)) this.#deliver(sent);
      this.#nowMs += isPartial ? LOAD_MS / 2 : 2 * LOAD_MS;
    }
    for (const name of ENGINES) this.#startRead(name);
    this.#arrive();
  }

  #call(value: number, lag: number): void {
    const replicas = [...HashMap.values(this.#viewWithLag(lag).replicas)];
    const replica = replicas[value % Math.max(1, replicas.length)];
    if (replica === undefined) return;
    const health = findReplicaHealth(replica, {
      observations: this.#observations,
      nowMs: this.#nowMs,
      maxAgeMs: MAX_OBSERVATION_AGE_MS,
    });
    if (health.state !== "ready") return;
    this.callCount += 1;
    for (const rank of replica.members.keys()) {
      expect(this.#heldRankRecently(replica, rank)).toEqual(true);
    }
  }

  /**
   * Whether a member actually held this rank of this replica within the
   * observation window.
   */
  #heldRankRecently(replica: Replica, rank: number): boolean {
    return this.#actualStatuses.some(({ atMs, status }) =>
      atMs >= this.#nowMs - MAX_OBSERVATION_AGE_MS &&
      status.instanceId === replica.members[rank] &&
      status.state === "ready" &&
      status.loadedRank === rank &&
      status.assignment?.rank === rank &&
      status.assignment.replicaId === replica.replicaId &&
      status.assignment.fencingNumber === replica.fencingNumber
    );
  }
}
