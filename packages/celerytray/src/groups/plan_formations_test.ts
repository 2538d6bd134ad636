import { expect } from "earl";
import { describe, it } from "node:test";
import type { ServedModel } from "../serving/index.ts";
import type { InstanceState } from "./instance_state.ts";
import { type FormationInput, planFormations } from "./plan_formations.ts";

const LARGE: ServedModel = {
  name: "large",
  size: 6,
  instanceShare: 0.67,
  pace: 1,
  loadMs: 16_000,
  warmMs: 1_600,
};
const SMALL: ServedModel = {
  name: "small",
  size: 3,
  instanceShare: 0.33,
  pace: 0.6,
  loadMs: 12_000,
  warmMs: 1_100,
};
const DOMAIN_SIZE = 11;

describe("planFormations", () => {
  it("gives each filled domain one replica of each model", () => {
    const input = createInput({
      free: ["a", "b", "c", "d", "e", "f"].flatMap(listDomain),
    });
    expect(countModels(planFormations(input))).toEqual({ large: 6, small: 6 });
  });

  it("completes the wanted shares in the domain that fills last", () => {
    const first = planFormations(
      createInput({ free: ["a", "b", "c", "d", "e"].flatMap(listDomain) }),
    );
    const last = planFormations(createInput({
      free: listDomain("f"),
      replicas: first.map((formation, index) => ({
        ...formation,
        name: `r${index}`,
        epoch: index,
      })),
    }));
    expect(countModels(last)).toEqual({ large: 1, small: 1 });
  });

  it("leaves a filling domain to the model that lacks replicas most", () => {
    const input = createInput({
      free: listDomain("a").slice(0, 4),
      isFilled: () => false,
    });
    expect(planFormations(input)).toEqual([]);
  });

  it("keeps room for a large replica in a domain that still fills", () => {
    const filled = new Set(["a"]);
    const input = createInput({
      free: [...listDomain("a"), ...listDomain("b").slice(0, 5)],
      isFilled: (domain) => filled.has(domain),
    });
    const first = planFormations(input);
    expect(first.map(({ members }) => members[0]!.slice(0, 1)))
      .toEqual(["a", "a"]);
    expect(planFormations({ ...input, isEarly: false }).length).toEqual(3);
  });

  it("prefers instances that hold the weights once loads take long", () => {
    const free = listDomain("a").map((instance, index) => ({
      ...instance,
      stagedModels: index >= DOMAIN_SIZE - SMALL.size ? ["small"] : [],
    }));
    const [first] = planFormations(createInput({ free, isEarly: false }));
    expect(first?.model).toEqual("small");
    expect(first?.members).toEqual(["a-8", "a-9", "a-10"]);
  });
});

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
  formations: ReturnType<typeof planFormations>,
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = { large: 0, small: 0 };
  for (const { model } of formations) counts[model] = counts[model]! + 1;
  return counts;
}
