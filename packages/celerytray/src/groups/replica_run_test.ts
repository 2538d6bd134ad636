import { expect } from "earl";
import { describe, it } from "node:test";
import type { InstanceState, MembershipState } from "./instance_state.ts";
import {
  type DueOrder,
  type Liveness,
  planRun,
  type ReplicaRun,
} from "./replica_run.ts";

const MEMBERS = ["head", "second", "third"];
const BORN_AT_MS = 1_000;
const DRAIN_MS = 2_000;
/** Time after which a closing no longer waits for its requests. */
const GENTLE_MS = 2_500;

describe("planRun, when a member drains", () => {
  it("leaves an open replica alone until the member may go", () => {
    const world = createWorld("open");
    world.draining.add("second");
    expect(world.plan(0)).toEqual([]);
    expect(world.plan(DRAIN_MS - 1)).toEqual([]);
    expect(world.run.retiring).toEqual(undefined);
    expect(kindsOf(world.plan(DRAIN_MS))).toEqual(["close gently"]);
  });

  it("closes gently when the member refuses connections before", () => {
    const world = createWorld("open");
    world.draining.add("second");
    world.liveness.set("second", "ended");
    expect(kindsOf(world.plan(0))).toEqual(["close gently"]);
  });

  it("takes a replica apart that doesn't serve yet", () => {
    const world = createWorld("joining");
    world.draining.add("second");
    world.plan(0);
    expect(world.run.retiring?.reason).toEqual("second is draining");
  });

  it("closes a replica whose head drains", () => {
    const world = createWorld("open");
    world.draining.add("head");
    expect(kindsOf(world.plan(0))).toEqual(["close gently"]);
  });

  it("cuts requests off once a member is lost, or closing takes long", () => {
    for (const isLost of [true, false]) {
      const world = createWorld("open");
      world.draining.add("second");
      world.plan(0);
      world.plan(DRAIN_MS);
      if (isLost) world.liveness.set("third", "silent");
      const afterMs = isLost ? DRAIN_MS + 1 : DRAIN_MS + GENTLE_MS;
      expect(kindsOf(world.plan(afterMs - (isLost ? 0 : 1)))).toEqual([
        isLost ? "close at once" : "close gently",
      ]);
      expect(kindsOf(world.plan(afterMs))).toEqual(["close at once"]);
    }
  });
});

describe("planRun, when a member is lost", () => {
  it("closes at once where it didn't drain", () => {
    for (const kind of ["silent", "ended"] as const) {
      const world = createWorld("open");
      world.liveness.set("third", kind);
      expect(kindsOf(world.plan(0))).toEqual(["close at once"]);
    }
  });

  it("closes at once where a draining member falls silent", () => {
    const world = createWorld("open");
    world.draining.add("third");
    world.liveness.set("third", "silent");
    expect(kindsOf(world.plan(0))).toEqual(["close at once"]);
  });
});

function createWorld(state: MembershipState) {
  const draining = new Set<string>();
  const liveness = new Map<string, Liveness["kind"]>();
  const run: ReplicaRun = {
    record: {
      name: "r1",
      epoch: 4,
      service: "drafter",
      model: "large",
      members: MEMBERS,
      incarnations: Object.fromEntries(
        MEMBERS.map((id) => [id, {
          address: `${id}:1`,
          bornAtMs: BORN_AT_MS,
        }]),
      ),
    },
    joinedIds: new Set(MEMBERS),
    readyIds: new Set(),
    leftIds: new Set(),
    mayBeOpen: state === "open",
  };
  const findInstance = (id: string): InstanceState => ({
    id,
    service: "drafter",
    address: `${id}:1`,
    zone: "z",
    slots: 8,
    domain: "d",
    isDraining: draining.has(id),
    bornAtMs: BORN_AT_MS,
    stagedModels: [],
    membership: {
      replica: "r1",
      epoch: 4,
      rank: MEMBERS.indexOf(id),
      state: id === "head" || state === "joining" ? state : "ready",
    },
  });
  const plan = (nowMs: number) =>
    planRun({
      run,
      findInstance,
      isListed: () => true,
      liveness: (id) => ({ kind: liveness.get(id) ?? "alive" }),
      drainMs: DRAIN_MS,
      nowMs,
    });
  return { run, draining, liveness, plan };
}

function kindsOf(orders: readonly DueOrder[]): readonly string[] {
  return orders.map(({ order }) => {
    if (order.kind !== "close") return order.kind;
    return order.isImmediate ? "close at once" : "close gently";
  });
}
