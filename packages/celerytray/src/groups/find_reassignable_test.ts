import { expect } from "earl";
import { describe, it } from "node:test";
import type { ServedModel } from "../serving/index.ts";
import { findReassignable } from "./find_reassignable.ts";
import type { InstanceState } from "./instance_state.ts";
import { LARGE, SMALL } from "./model_fixtures.ts";
import type { ReplicaRun } from "./replica_run.ts";

const BOTH = [LARGE.name, SMALL.name];

describe("findReassignable", () => {
  it("gives a small replica up whose members complete a large one", () => {
    const world = createWorld({ large: 2, small: 7, free: 5, staged: BOTH });
    const found = world.find();
    expect(found?.run.record.model).toEqual("small");
    expect(found?.run.record.members[0]).toEqual("a-small-0");
    expect(found?.models).toEqual(["large"]);
  });

  it("keeps a replica where its members don't hold the other weights", () => {
    const world = createWorld({
      large: 2,
      small: 7,
      free: 5,
      staged: [SMALL.name],
    });
    expect(world.find()).toEqual(undefined);
  });

  it("keeps replicas where none of the models lacks any", () => {
    const world = createWorld({ large: 6, small: 6, free: 2, staged: BOTH });
    expect(world.find()).toEqual(undefined);
  });

  it("keeps a replica that is about to be completed by a newcomer", () => {
    const world = createWorld({ large: 4, small: 7, free: 5, staged: BOTH });
    expect(world.find()?.models).toEqual(["large"]);
    world.addNewcomer({ isLoading: true });
    expect(world.find()).toEqual(undefined);
  });

  it("keeps a replica with a member that drains, or that isn't open", () => {
    for (const change of ["drain", "close"] as const) {
      const world = createWorld({ large: 2, small: 7, free: 5, staged: BOTH });
      world.change(change);
      expect(world.find()).toEqual(undefined);
    }
  });
});

interface WorldOptions {
  /** Replicas of each model; the first small one is in the domain `a`. */
  readonly large: number;
  readonly small: number;
  /** Free instances in the domain `a`, which hold the large model's weights. */
  readonly free: number;
  /** Weights on the hosts of the small replicas' members. */
  readonly staged: readonly string[];
}

function createWorld({ large, small, free, staged }: WorldOptions) {
  const instances = new Map<string, InstanceState>();
  const runs = [
    ...createRuns(instances, { model: LARGE, count: large, staged: BOTH }),
    ...createRuns(instances, { model: SMALL, count: small, staged }),
  ];
  const spares = Array.from(
    { length: free },
    (_, index) => createInstance(`spare-${index}`, "a", [LARGE.name]),
  );
  const loading = new Set<string>();
  return {
    find: () =>
      findReassignable({
        service: "drafter",
        models: [LARGE, SMALL],
        runs,
        free: spares,
        findInstance: (id) => instances.get(id),
        hotModel: () => undefined,
        preparedModel: (id) => loading.has(id) ? LARGE.name : undefined,
        isEarly: false,
        fill: () => 0.5,
      }),
    addNewcomer: ({ isLoading }: { readonly isLoading: boolean }) => {
      spares.push(createInstance("newcomer", "a", []));
      if (isLoading) loading.add("newcomer");
    },
    change: (kind: "drain" | "close") => {
      const head = instances.get("a-small-0")!;
      instances.set(head.id, {
        ...head,
        isDraining: kind === "drain",
        membership: {
          ...head.membership!,
          state: kind === "close" ? "closing" : "open",
        },
      });
    },
  };
}

function createRuns(
  instances: Map<string, InstanceState>,
  { model, count, staged }: {
    readonly model: ServedModel;
    readonly count: number;
    readonly staged: readonly string[];
  },
): readonly ReplicaRun[] {
  return Array.from({ length: count }, (_, replica): ReplicaRun => {
    const isLocal = model === SMALL && replica === 0;
    const domain = isLocal ? "a" : `${model.name}-${replica}`;
    const name = `${model.name}-${replica}`;
    const members = Array.from({ length: model.size }, (_, index) => {
      const id = `${domain}-${model.name}-${index}`;
      instances.set(id, {
        ...createInstance(id, domain, staged),
        membership: {
          replica: name,
          epoch: 1,
          rank: index,
          state: index === 0 ? "open" : "ready",
        },
      });
      return id;
    });
    return {
      record: {
        name,
        epoch: 1,
        service: "drafter",
        model: model.name,
        members,
        incarnations: {},
      },
      joinedIds: new Set(members),
      readyIds: new Set(members),
      leftIds: new Set(),
      mayBeOpen: true,
    };
  });
}

function createInstance(
  id: string,
  domain: string,
  stagedModels: readonly string[],
): InstanceState {
  return {
    id,
    service: "drafter",
    address: `${id}:1`,
    zone: "z",
    slots: 18,
    domain,
    isDraining: false,
    stagedModels,
  };
}
