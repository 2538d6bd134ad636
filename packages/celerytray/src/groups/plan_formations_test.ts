import { expect } from "earl";
import { describe, it } from "node:test";
import type { InstanceState } from "./instance_state.ts";
import { LARGE, SMALL } from "./model_fixtures.ts";
import type { Formation } from "./divide_pool.ts";
import { type FormationInput, planFormations } from "./plan_formations.ts";

const DOMAIN_SIZE = 11;

describe("planFormations", () => {
  it("gives each filled domain one replica of each model", () => {
    const input = createInput({
      free: ["a", "b", "c", "d", "e", "f"].flatMap(listDomain),
    });
    expect(countModels(planFormations(input).formations)).toEqual({
      large: 6,
      small: 6,
    });
  });

  it("completes the wanted shares in the domain that fills last", () => {
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

  it("leaves a filling domain to the model that lacks replicas most", () => {
    const input = createInput({
      free: listDomain("a").slice(0, 4),
      isFilled: () => false,
    });
    expect(planFormations(input).formations).toEqual([]);
  });

  it("keeps room for a large replica in a domain that still fills", () => {
    const filled = new Set(["a"]);
    const input = createInput({
      free: [...listDomain("a"), ...listDomain("b").slice(0, 5)],
      isFilled: (domain) => filled.has(domain),
    });
    const first = planFormations(input).formations;
    expect(first.map(({ members }) => members[0]!.slice(0, 1)))
      .toEqual(["a", "a"]);
    const filling = {
      ...input,
      free: listDomain("b").slice(0, 5).map(holdAll),
      replicas: [{ ...createReplica("large"), name: "r1" }],
    };
    expect(planFormations(filling).formations).toEqual([]);
    const later = planFormations({ ...filling, isEarly: false }).formations;
    expect(countModels(later)).toEqual({ large: 0, small: 1 });
  });

  it("prefers instances that hold the weights once loads take long", () => {
    const free = listDomain("a").map((instance, index) => ({
      ...instance,
      stagedModels: index >= DOMAIN_SIZE - SMALL.size ? ["small"] : [],
    }));
    const { formations } = planFormations(
      createInput({ free, isEarly: false }),
    );
    expect(formations.map(({ model }) => model)).toEqual(["small"]);
    expect(formations[0]?.members).toEqual(["a-8", "a-9", "a-10"]);
  });

  it("divides a large domain among small replicas in few steps", () => {
    const models = [
      { ...LARGE, name: "pair", size: 2 },
      { ...SMALL, name: "single", size: 1 },
    ];
    const free = Array.from({ length: 60 }, (_, index) => ({
      ...listDomain("a")[0]!,
      id: `a-${index}`,
    }));
    let questions = 0;
    const { formations } = planFormations(createInput({
      models,
      free,
      fill: () => {
        questions += 1;
        return 0;
      },
    }));
    const members = formations.flatMap(({ members }) => members);
    expect(new Set(members).size).toEqual(free.length);
    expect(questions < free.length ** 2).toEqual(true);
  });

  it("doesn't bind spares in a replica whose newcomer must load", () => {
    const [newcomer, ...spares] = listDomain("a").slice(0, SMALL.size);
    const input = createInput({
      free: [newcomer!, ...spares.map(holdAll)],
      isEarly: false,
    });
    const { formations, preparations } = planFormations(input);
    expect(formations).toEqual([]);
    expect(preparations.get("a-0")).toEqual("small");
    const loaded = planFormations({
      ...input,
      free: input.free.map(holdAll),
    });
    expect(countModels(loaded.formations)).toEqual({ large: 0, small: 1 });
  });

  it("keeps survivors of a model that lacks replicas for a newcomer", () => {
    const free = listDomain("a").slice(0, LARGE.size);
    const survivors = free.slice(1).map(holdAll);
    const replicas = Array.from({ length: 6 }, (_, index) => ({
      ...createReplica("small"),
      name: `r${index}`,
    }));
    const input = createInput({
      free: [free[0]!, ...survivors],
      replicas: [...replicas, { ...createReplica("large"), name: "r6" }],
      hotModel: (id) => id === "a-0" ? undefined : "large",
      isEarly: false,
    });
    const { formations, preparations } = planFormations(input);
    expect(formations).toEqual([]);
    expect(preparations.get("a-0")).toEqual("large");
  });

  it("uses survivors elsewhere where their model doesn't lack replicas", () => {
    const free = listDomain("a").slice(0, LARGE.size);
    const replicas = Array.from({ length: 6 }, (_, index) => ({
      ...createReplica("large"),
      name: `r${index}`,
    }));
    const { formations } = planFormations(createInput({
      free: [free[0]!, ...free.slice(1).map(holdAll)],
      replicas,
      hotModel: (id) => id === "a-0" ? undefined : "large",
      isEarly: false,
    }));
    expect(countModels(formations).small).toEqual(1);
  });
});

function holdAll(instance: InstanceState): InstanceState {
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
    hotModel: () => undefined,
    preparedModel: () => undefined,
    isFilled: () => true,
    isEarly: true,
    fill: () => 0,
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
