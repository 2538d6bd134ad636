import { expect } from "earl";
import { describe, it } from "node:test";
import type { ServedModel } from "../serving/index.ts";
import type { Preparation } from "./divide_pool.ts";
import { findReassignable } from "./find_reassignable.ts";
import type { InstanceState } from "./instance_state.ts";
import { LARGE, SMALL } from "./model_fixtures.ts";
import type { ReplicaRun } from "./replica_progress.ts";

const BOTH = [LARGE.name, SMALL.name];

describe("findReassignable", () => {
  it("retires a small replica whose members complete a large one", () => {
    const fixture = createFixture({
      large: 2,
      small: 7,
      free: 5,
      staged: BOTH,
    });
    const found = fixture.find();
    expect(found?.run.record.model).toEqual("small");
    expect(found?.run.record.members[0]).toEqual("a-small-0");
    expect(found?.models).toEqual(["large"]);
  });

  it("keeps a replica whose members lack the other model's weights", () => {
    const fixture = createFixture({
      large: 2,
      small: 7,
      free: 5,
      staged: [SMALL.name],
    });
    expect(fixture.find()).toEqual(undefined);
  });

  it("keeps replicas when no model lacks replicas", () => {
    const fixture = createFixture({
      large: 6,
      small: 6,
      free: 2,
      staged: BOTH,
    });
    expect(fixture.find()).toEqual(undefined);
  });

  it("keeps a replica while a new instance loads to complete a large one", () => {
    const fixture = createFixture({
      large: 4,
      small: 7,
      free: 5,
      staged: BOTH,
    });
    expect(fixture.find()?.models).toEqual(["large"]);
    fixture.addNewInstance(LARGE.loadMs / 2);
    expect(fixture.find()).toEqual(undefined);
  });

  // The large model lacks replicas, and a domain lacks one member for it.
  it("takes the member from a small replica if a load has just begun", () => {
    const fixture = createFixture({
      large: 3,
      small: 8,
      free: 5,
      staged: BOTH,
    });
    fixture.addNewInstance(0);
    expect(fixture.find()?.models).toEqual(["large"]);
  });

  it("keeps a replica that has a draining member or is not open", () => {
    for (const change of ["drain", "close"] as const) {
      const fixture = createFixture({
        large: 2,
        small: 7,
        free: 5,
        staged: BOTH,
      });
      fixture.change(change);
      expect(fixture.find()).toEqual(undefined);
    }
  });
});

interface FixtureOptions {
  /** Number of replicas of the large model, each in a domain of its own. */
  readonly large: number;
  /** Number of replicas of the small model; the first is in domain `a`. */
  readonly small: number;
  /** Number of free instances in domain `a`, with the large model staged. */
  readonly free: number;
  /** Models staged on the hosts of the small replicas' members. */
  readonly staged: readonly string[];
}

function createFixture({ large, small, free, staged }: FixtureOptions) {
  const instances = new Map<string, InstanceState>();
  const runs = [
    ...createRuns(instances, { model: LARGE, count: large, staged: BOTH }),
    ...createRuns(instances, { model: SMALL, count: small, staged }),
  ];
  const spares = Array.from(
    { length: free },
    (_, index) => createInstance(`spare-${index}`, "a", [LARGE.name]),
  );
  const loading = new Map<string, Preparation>();
  return {
    find: () =>
      findReassignable({
        service: "drafter",
        models: [LARGE, SMALL],
        runs,
        free: spares,
        findInstance: (id) => instances.get(id),
        heldModel: () => undefined,
        findPreparation: (id) => loading.get(id),
        precedesTraffic: false,
        utilisation: () => 0.5,
      }),
    addNewInstance: (elapsedMs: number) => {
      spares.push(createInstance("new-instance", "a", []));
      loading.set("new-instance", { model: LARGE.name, elapsedMs });
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
