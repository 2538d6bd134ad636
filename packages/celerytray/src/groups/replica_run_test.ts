import { expect } from "earl";
import { describe, it } from "node:test";
import type { InstanceState, MembershipState } from "./instance_state.ts";
import type { Liveness, ReplicaRun } from "./replica_progress.ts";
import { type DueOrder, planRunOrders } from "./replica_run.ts";

const MEMBERS = ["head", "second", "third"];
const BORN_AT_MS = 1_000;
const DRAIN_MS = 2_000;
const LONGEST_CALL_MS = 8_000;
/** Time after which nothing can be in progress at a head that is to close. */
const CLOSE_OVERDUE_MS = LONGEST_CALL_MS + 1_000;

describe("planRunOrders, when a member drains", () => {
  it("keeps an open replica until the member's drain time has passed", () => {
    const fixture = createFixture("open");
    fixture.draining.add("second");
    expect(fixture.plan(0)).toEqual([]);
    expect(fixture.plan(DRAIN_MS - 1)).toEqual([]);
    expect(fixture.run.retirement).toEqual(undefined);
    expect(kindsOf(fixture.plan(DRAIN_MS))).toEqual(["close gracefully"]);
  });

  it("closes gracefully when the member refuses connections earlier", () => {
    const fixture = createFixture("open");
    fixture.draining.add("second");
    fixture.liveness.set("second", "ended");
    expect(kindsOf(fixture.plan(0))).toEqual(["close gracefully"]);
  });

  it("retires a replica that does not serve yet", () => {
    const fixture = createFixture("joining");
    fixture.draining.add("second");
    fixture.plan(0);
    expect(fixture.run.retirement?.reason).toEqual("second is draining");
  });

  it("closes a replica whose head drains", () => {
    const fixture = createFixture("open");
    fixture.draining.add("head");
    expect(kindsOf(fixture.plan(0))).toEqual(["close gracefully"]);
  });

  // Guards against an order that cuts streams which have most of their time left
  // (LOST).
  it("cuts requests off only if a member is lost or none can have time left", () => {
    for (const isLost of [true, false]) {
      const fixture = createFixture("open");
      fixture.draining.add("second");
      fixture.plan(0);
      fixture.plan(DRAIN_MS);
      if (isLost) fixture.liveness.set("third", "lost");
      const afterMs = isLost ? DRAIN_MS + 1 : DRAIN_MS + CLOSE_OVERDUE_MS;
      expect(kindsOf(fixture.plan(afterMs - (isLost ? 0 : 1)))).toEqual([
        isLost ? "close at once" : "close gracefully",
      ]);
      expect(kindsOf(fixture.plan(afterMs))).toEqual(["close at once"]);
    }
  });
});

describe("planRunOrders, when a member is lost", () => {
  it("closes at once if the member was not draining", () => {
    for (const kind of ["lost", "ended"] as const) {
      const fixture = createFixture("open");
      fixture.liveness.set("third", kind);
      expect(kindsOf(fixture.plan(0))).toEqual(["close at once"]);
    }
  });

  it("closes at once when a draining member becomes silent", () => {
    const fixture = createFixture("open");
    fixture.draining.add("third");
    fixture.liveness.set("third", "lost");
    expect(kindsOf(fixture.plan(0))).toEqual(["close at once"]);
  });
});

// Guards against streams that are cut for an entry of another writer, which lacks
// the time of the start (LOST).
describe("planRunOrders, when a member's entry doesn't say when it started", () => {
  it("leaves the replica as it is", () => {
    const fixture = createFixture("open");
    fixture.bornAtMs = undefined;
    expect(fixture.plan(0)).toEqual([]);
    fixture.bornAtMs = BORN_AT_MS + 1;
    expect(kindsOf(fixture.plan(1))).toEqual(["leave", "leave"]);
  });
});

// Guards against streams that are cut at a sound replica, one of whose machines
// makes no connection for a while (LOST).
describe("planRunOrders, when a member is lost that may still work", () => {
  it("lets the head end what it serves, until the loss is certain", () => {
    const fixture = createFixture("open");
    fixture.unreachable.add("third");
    expect(kindsOf(fixture.plan(0))).toEqual(["close gracefully"]);
    expect(kindsOf(fixture.plan(1))).toEqual(["close gracefully"]);
    fixture.unreachable.delete("third");
    fixture.liveness.set("third", "lost");
    expect(kindsOf(fixture.plan(2))).toEqual(["close at once"]);
  });

  it("keeps the replica if it answers while the head closes", () => {
    const fixture = createFixture("open");
    fixture.unreachable.add("third");
    fixture.plan(0);
    fixture.run.retirement!.hasBegunClosing = true;
    fixture.unreachable.delete("third");
    fixture.liveness.set("third", "silent");
    expect(kindsOf(fixture.plan(1))).toEqual(["close gracefully"]);
    fixture.liveness.delete("third");
    fixture.headState = "closing";
    expect(kindsOf(fixture.plan(2))).toEqual([]);
    expect(fixture.run.retirement).toEqual(undefined);
    fixture.headState = "ready";
    expect(kindsOf(fixture.plan(3))).toEqual(["open"]);
  });

  it("dissolves the replica if an order that interrupts was sent before", () => {
    const fixture = createFixture("open");
    fixture.unreachable.add("third");
    fixture.plan(0);
    fixture.unreachable.delete("third");
    fixture.liveness.set("third", "lost");
    expect(kindsOf(fixture.plan(1))).toEqual(["close at once"]);
    fixture.liveness.delete("third");
    expect(kindsOf(fixture.plan(2))).toEqual(["close at once"]);
  });

  it("dissolves the replica if its head has closed before", () => {
    const fixture = createFixture("open");
    fixture.unreachable.add("third");
    fixture.plan(0);
    fixture.run.retirement!.isClosed = true;
    fixture.unreachable.delete("third");
    expect(kindsOf(fixture.plan(1))).toEqual(["leave"]);
  });
});

// Guards against a sound replica that is dissolved, with all its streams, for a
// second's silence (LOST).
describe("planRunOrders, when a member is silent", () => {
  it("leaves a replica that may serve as it is", () => {
    for (const id of MEMBERS) {
      const fixture = createFixture("open");
      fixture.liveness.set(id, "silent");
      expect(fixture.plan(0)).toEqual([]);
      expect(fixture.run.retirement).toEqual(undefined);
    }
  });

  it("does not interrupt what a closing head still serves", () => {
    for (const id of MEMBERS) {
      const fixture = createFixture("open");
      fixture.draining.add("second");
      fixture.plan(0);
      fixture.liveness.set(id, "silent");
      expect(kindsOf(fixture.plan(DRAIN_MS))).toEqual(["close gracefully"]);
    }
  });

  it("dissolves a replica that can't have begun to serve", () => {
    const fixture = createFixture("joining");
    fixture.liveness.set("head", "silent");
    expect(fixture.plan(0).map(({ instanceId }) => instanceId))
      .toEqual(["second", "third"]);
  });
});

function createFixture(state: MembershipState) {
  const draining = new Set<string>();
  const liveness = new Map<string, Liveness["kind"]>();
  const unreachable = new Set<string>();
  const fixture: {
    headState: MembershipState;
    bornAtMs: number | undefined;
  } = { headState: state, bornAtMs: BORN_AT_MS };
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
    ...(fixture.bornAtMs === undefined ? {} : { bornAtMs: fixture.bornAtMs }),
    stagedModels: [],
    membership: {
      replica: "r1",
      epoch: 4,
      rank: MEMBERS.indexOf(id),
      state: id === "head" || state === "joining" ? fixture.headState : "ready",
    },
  });
  const plan = (nowMs: number) =>
    planRunOrders({
      run,
      findInstance,
      isListed: () => true,
      liveness: (id) =>
        unreachable.has(id)
          ? { kind: "lost", mayWork: true }
          : { kind: liveness.get(id) ?? "alive" },
      drainMs: DRAIN_MS,
      longestCallMs: LONGEST_CALL_MS,
      nowMs,
    });
  return Object.assign(fixture, { run, draining, liveness, unreachable, plan });
}

function kindsOf(orders: readonly DueOrder[]): readonly string[] {
  return orders.map(({ order }) => {
    if (order.kind !== "close") return order.kind;
    return order.isImmediate ? "close at once" : "close gracefully";
  });
}
