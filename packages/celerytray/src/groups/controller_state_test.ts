import { expect } from "earl";
import { describe, it } from "node:test";
import { Right } from "purify-ts";
import { ControllerState } from "./controller_state.ts";
import { InstanceListView } from "./instance_list.ts";
import type { InstanceState } from "./instance_state.ts";
import { listOrphanOrders } from "./list_orphan_orders.ts";

const TERM = 20;
const LIST_LAG_MS = 1_000;

// Guards against a leader that is cut off from the store, is replaced, and
// dissolves its successor's replicas when it gets the instance list before the
// fleet records.
describe("ControllerState with replicas of a later leader", () => {
  it("neither dissolves them nor takes their members", () => {
    const state = createState(TERM + 1);
    expect(ordersOf(state)).toEqual([]);
    expect(state.listOrphans()).toEqual([]);
    expect(state.listFree("s", 0)).toEqual([]);
    expect(state.hasLaterReplicas).toEqual(true);
  });

  it("dissolves replicas that were recorded before its term", () => {
    const state = createState(TERM - 1);
    expect(ordersOf(state)).toEqual(["head close"]);
    expect(state.hasLaterReplicas).toEqual(false);
  });

  it("counts its own records as known", () => {
    const state = createState(TERM + 3);
    state.addReplica({
      name: "r",
      service: "s",
      model: "m",
      epoch: TERM + 3,
      members: ["head", "tail"],
      incarnations: {},
    });
    expect(state.hasLaterReplicas).toEqual(false);
    expect(ordersOf(state)).toEqual([]);
  });
});

function ordersOf(state: ControllerState): readonly string[] {
  const longestCallMs = () => LIST_LAG_MS;
  listOrphanOrders({ state, longestCallMs, nowMs: 0 });
  return listOrphanOrders({ state, longestCallMs, nowMs: LIST_LAG_MS })
    .map(({ instanceId, order }) => `${instanceId} ${order.kind}`);
}

/** Creates a leader's state whose list holds a replica of another leader. */
function createState(epoch: number): ControllerState {
  const instances = new InstanceListView({
    decode: (_id, text) => Right(JSON.parse(text) as InstanceState),
    onMalformed: () => {},
  });
  const records = ["head", "tail"].map((id, rank) => ({
    key: id,
    offset: rank,
    value: Buffer.from(JSON.stringify(createInstance(id, { rank, epoch }))),
  }));
  const nextOffset = records.length;
  instances.apply({ isFullRead: true, records, nextOffset }, 0);
  return new ControllerState({ instances, term: TERM, replicas: [] });
}

function createInstance(
  id: string,
  { rank, epoch }: { readonly rank: number; readonly epoch: number },
): InstanceState {
  return {
    id,
    service: "s",
    address: "10.0.0.1:1",
    zone: "z",
    slots: 4,
    isDraining: false,
    domain: "d",
    stagedModels: [],
    loadedModel: "m",
    membership: {
      replica: "r",
      epoch,
      rank,
      state: rank === 0 ? "open" : "ready",
    },
  };
}
