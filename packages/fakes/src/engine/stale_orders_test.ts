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
const READ_BACK_MS = 2_500;
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

describe("stale orders", () => {
  for (const checksFencing of [true, false]) {
    const engines = checksFencing ? "check" : "ignore";
    it(`serve no caller past a read-back where engines ${engines} fencing`, () => {
      let callCount = 0;
      fc.assert(
        fc.property(
          fc.array(action, {
            minLength: 10,
            maxLength: 120,
            size: "max",
          }),
          (actions) => {
            const world = new World(checksFencing);
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
  /** Records that the acting process has not read yet. */
  readonly lag: number;
}

function step(kind: Kind, max: number, maxLag: number): fc.Arbitrary<Action> {
  return fc.record({
    kind: fc.constant(kind),
    value: fc.nat({ max }),
    lag: fc.nat({ max: maxLag }),
  });
}

class World {
  callCount = 0;
  readonly #engines: ReadonlyMap<string, FakeEngine>;
  readonly #paused = new Set<string>();
  readonly #states: FleetState[] = [emptyFleetState()];
  readonly #sent: { readonly to: string; readonly order: EngineOrder }[] = [];
  readonly #observations = new Map<string, MemberObservation>();
  readonly #pendingReads: MemberObservation[] = [];
  /** What each engine truly was, and when. */
  readonly #truth: { readonly atMs: number; readonly status: EngineStatus }[] =
    [];
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

  #view(lag: number): FleetState {
    return this.#states.at(Math.max(-this.#states.length, -1 - lag))!;
  }

  #propose(value: number, lag: number): void {
    const known = this.#view(lag);
    const replicas = [...HashMap.values(known.replicas)];
    const free = ENGINES.filter((name) =>
      !HashMap.has(known.replicaIdByMember, name)
    );
    const replica = replicas[value % Math.max(1, replicas.length)];
    const ids = { recordId: "r", proposer: "p", service: "s" };
    const change = { ...ids, reason: "test" };
    const spare = free[0] ?? ENGINES[value % ENGINES.length]!;
    if (value % 3 === 0 || replica === undefined) {
      const members: [string, ...string[]] = [spare, free[1] ?? "a"];
      this.#append({ ...ids, kind: "form", slot: value % 2, members });
      return;
    }
    const { slot, fencingNumber } = replica;
    const members: [string, ...string[]] = [replica.members[0]!, spare];
    this.#append(
      value % 3 === 1
        ? { ...change, kind: "replace", slot, fencingNumber, members }
        : { ...change, kind: "dissolve", slot, fencingNumber },
    );
  }

  #append(record: LogRecord): void {
    const state = this.#view(0);
    const offset = state.offset + 1;
    const entry = { offset, appendedAtMs: this.#nowMs, record };
    this.#states.push(foldFleetRecord(state, entry));
  }

  #order(lag: number): void {
    const orders = createOrders({
      fleet: this.#view(lag),
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
    this.#truth.push({ atMs: this.#nowMs, status });
    this.#pendingReads.push({ status, observedAtMs: this.#nowMs });
  }

  #arrive(): void {
    for (const read of this.#pendingReads.splice(0)) {
      this.#observations.set(read.status.instanceId, read);
    }
  }

  #settle(isHalf: boolean): void {
    for (let round = 0; round < (isHalf ? 1 : 2); round++) {
      for (const name of ENGINES) this.#startRead(name);
      this.#arrive();
      const first = this.#sent.length;
      this.#order(0);
      for (const sent of this.#sent.slice(first)) this.#deliver(sent);
      this.#nowMs += isHalf ? LOAD_MS / 2 : 2 * LOAD_MS;
    }
    for (const name of ENGINES) this.#startRead(name);
    this.#arrive();
  }

  #call(value: number, lag: number): void {
    const replicas = [...HashMap.values(this.#view(lag).replicas)];
    const replica = replicas[value % Math.max(1, replicas.length)];
    if (replica === undefined) return;
    const health = findReplicaHealth(replica, {
      observations: this.#observations,
      nowMs: this.#nowMs,
      maxAgeMs: READ_BACK_MS,
    });
    if (health.state !== "ready") return;
    this.callCount += 1;
    for (const rank of replica.members.keys()) {
      expect(this.#heldLately(replica, rank)).toEqual(true);
    }
  }

  /** Whether a member truly was this rank of this formation in the window. */
  #heldLately(replica: Replica, rank: number): boolean {
    return this.#truth.some(({ atMs, status }) =>
      atMs >= this.#nowMs - READ_BACK_MS &&
      status.instanceId === replica.members[rank] &&
      status.state === "ready" &&
      status.loadedRank === rank &&
      status.assignment?.rank === rank &&
      status.assignment.replicaId === replica.replicaId &&
      status.assignment.fencingNumber === replica.fencingNumber
    );
  }
}
