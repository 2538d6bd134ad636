import { expect } from "earl";
import { describe, it } from "node:test";
import type { InstanceState } from "./instance_state.ts";
import { LARGE, SMALL } from "./model_fixtures.ts";
import type { Formation } from "./divide_pool.ts";
import { type FormationInput, planFormations } from "./plan_formations.ts";

const DOMAIN_SIZE = 11;

describe("planFormations", () => {
  it("forms one replica of each model in each complete domain", () => {
    const input = createInput({
      free: ["a", "b", "c", "d", "e", "f"].flatMap(listDomain),
    });
    expect(countModels(planFormations(input).formations)).toEqual({
      large: 6,
      small: 6,
    });
  });

  it("completes the configured shares in the last domain", () => {
    const first = planFormations(
      createInput({ free: ["a", "b", "c", "d", "e"].flatMap(listDomain) }),
    ).formations;
    const last = planFormations(createInput({
      free: listDomain("f"),
      replicas: first.map((formation, index) => ({
        ...formation,
        name: `r${index}`,
        epoch: index,
      })),
    })).formations;
    expect(countModels(last)).toEqual({ large: 1, small: 1 });
  });

  it("reserves an incomplete domain for the model with the greatest need", () => {
    const input = createInput({
      free: listDomain("a").slice(0, 4),
      isDomainComplete: () => false,
    });
    expect(planFormations(input).formations).toEqual([]);
  });

  it("reserves an incomplete domain for a large replica", () => {
    const complete = new Set(["a"]);
    const input = createInput({
      free: [...listDomain("a"), ...listDomain("b").slice(0, 5)],
      isDomainComplete: (domain) => complete.has(domain),
    });
    const first = planFormations(input).formations;
    expect(first.map(({ members }) => members[0]!.slice(0, 1)))
      .toEqual(["a", "a"]);
    const incomplete = {
      ...input,
      free: listDomain("b").slice(0, 5).map(stageAll),
      replicas: [{ ...createReplica("large"), name: "r1" }],
    };
    expect(planFormations(incomplete).formations).toEqual([]);
    const later =
      planFormations({ ...incomplete, precedesTraffic: false }).formations;
    expect(countModels(later)).toEqual({ large: 0, small: 1 });
  });

  it("prefers instances with staged weights once loads take long", () => {
    const free = listDomain("a").map((instance, index) => ({
      ...instance,
      stagedModels: index >= DOMAIN_SIZE - SMALL.size ? ["small"] : [],
    }));
    const { formations } = planFormations(
      createInput({ free, precedesTraffic: false }),
    );
    expect(formations.map(({ model }) => model)).toEqual(["small"]);
    expect(formations[0]?.members).toEqual(["a-8", "a-9", "a-10"]);
  });

  it("divides a large domain in fewer than n² steps", () => {
    const models = [
      { ...LARGE, name: "pair", size: 2 },
      { ...SMALL, name: "single", size: 1 },
    ];
    const free = Array.from({ length: 60 }, (_, index) => ({
      ...listDomain("a")[0]!,
      id: `a-${index}`,
    }));
    let utilisationCalls = 0;
    const { formations } = planFormations(createInput({
      models,
      free,
      utilisation: () => {
        utilisationCalls += 1;
        return 0;
      },
    }));
    const members = formations.flatMap(({ members }) => members);
    expect(new Set(members).size).toEqual(free.length);
    expect(utilisationCalls < free.length ** 2).toEqual(true);
  });

  it("does not use spares in a replica while a new instance must load", () => {
    const [newInstance, ...spares] = listDomain("a").slice(0, SMALL.size);
    const input = createInput({
      free: [newInstance!, ...spares.map(stageAll)],
      precedesTraffic: false,
    });
    const { formations, preparations } = planFormations(input);
    expect(formations).toEqual([]);
    expect(preparations.get("a-0")).toEqual("small");
    const loaded = planFormations({
      ...input,
      free: input.free.map(stageAll),
    });
    expect(countModels(loaded.formations)).toEqual({ large: 0, small: 1 });
  });

  it("keeps survivors of a model that lacks replicas for a new instance", () => {
    const free = listDomain("a").slice(0, LARGE.size);
    const survivors = free.slice(1).map(stageAll);
    const replicas = Array.from({ length: 6 }, (_, index) => ({
      ...createReplica("small"),
      name: `r${index}`,
    }));
    const input = createInput({
      free: [free[0]!, ...survivors],
      replicas: [...replicas, { ...createReplica("large"), name: "r6" }],
      heldModel: (id) => id === "a-0" ? undefined : "large",
      precedesTraffic: false,
    });
    const { formations, preparations } = planFormations(input);
    expect(formations).toEqual([]);
    expect(preparations.get("a-0")).toEqual("large");
  });

  it("uses survivors for another model if their own lacks no replicas", () => {
    const free = listDomain("a").slice(0, LARGE.size);
    const replicas = Array.from({ length: 6 }, (_, index) => ({
      ...createReplica("large"),
      name: `r${index}`,
    }));
    const { formations } = planFormations(createInput({
      free: [free[0]!, ...free.slice(1).map(stageAll)],
      replicas,
      heldModel: (id) => id === "a-0" ? undefined : "large",
      precedesTraffic: false,
    }));
    expect(countModels(formations).small).toEqual(1);
  });
});

function stageAll(instance: InstanceState): InstanceState {
  return { ...instance, stagedModels: [LARGE.name, SMALL.name] };
}

function createReplica(model: string) {
  return { service: "drafter", model, members: [], incarnations: {}, epoch: 0 };
}

function createInput(changes: Partial<FormationInput>): FormationInput {
  return {
    service: "drafter",
    models: [LARGE, SMALL],
    free: [],
    replicas: [],
    heldModel: () => undefined,
    findPreparation: () => undefined,
    isDomainComplete: () => true,
    precedesTraffic: true,
    utilisation: () => 0,
    ...changes,
  };
}

function listDomain(domain: string): readonly InstanceState[] {
  return Array.from({ length: DOMAIN_SIZE }, (_, index) => ({
    id: `${domain}-${index}`,
    service: "drafter",
    address: `10.0.0.1:${index}`,
    zone: "z",
    slots: 26,
    domain,
    isDraining: false,
    stagedModels: [],
  }));
}

function countModels(
  formations: readonly Formation[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = { large: 0, small: 0 };
  for (const { model } of formations) counts[model] = counts[model]! + 1;
  return counts;
}
