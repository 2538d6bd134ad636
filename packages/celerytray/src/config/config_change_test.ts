import type { ConfigSet } from "@celerytray/schema";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { checkConfig } from "./check_config.ts";
import { applyConfigPatch, type ConfigPatch } from "./config_patch.ts";
import { emptyConfigState, foldConfigRecord } from "./fold_config_record.ts";
import { isValidChange } from "./is_valid_change.ts";

const VALID_NAMES = ["a", "b", "c"];
const name = rarely(
  fc.constantFrom(...VALID_NAMES),
  fc.constantFrom("_bad", "__proto__"),
);
const organisation = fc.record({
  apiKeySha256: rarely(
    fc.constantFrom([], ["0".repeat(64)]),
    fc.constant(["short"]),
  ),
  services: fc.array(fc.constantFrom("a", "b", "c"), { maxLength: 3 }),
  weight: rarely(fc.constantFrom(1, 2), fc.constant(-1)),
}, { requiredKeys: ["services", "apiKeySha256"] });
const service = fc.record({
  kind: fc.constantFrom("plain"),
  deployment: fc.constantFrom("a", "b", "c"),
  replicaCount: rarely(fc.nat(3), fc.constant(-1)),
});
const deployment = fc.record({
  weighting: rarely(fc.constant("group-downtime"), fc.constant("wrong")),
});

function arbitrarySection(entry: fc.Arbitrary<unknown>): fc.Arbitrary<unknown> {
  const entries = fc.array(fc.tuple(name, fc.option(entry, { freq: 3 })), {
    maxLength: 3,
  }).map((pairs) => Object.fromEntries(pairs));
  return fc.oneof(
    { weight: 40, arbitrary: entries },
    { weight: 1, arbitrary: fc.constantFrom(null, 3, []) },
  );
}

function rarely<Usual, Rare>(
  usual: fc.Arbitrary<Usual>,
  rare: fc.Arbitrary<Rare>,
): fc.Arbitrary<Usual | Rare> {
  return fc.oneof(
    { weight: 30, arbitrary: usual },
    { weight: 1, arbitrary: rare },
  );
}

const patch: fc.Arbitrary<ConfigPatch> = fc.record({
  organisations: arbitrarySection(organisation),
  services: arbitrarySection(service),
  deployments: arbitrarySection(deployment),
  surplus: rarely(fc.constant(null), fc.constant(1)),
}, { requiredKeys: [] });

const BASE_PATCH: ConfigPatch = {
  deployments: { a: { weighting: "group-downtime" } },
  services: { a: { kind: "plain", deployment: "a", replicaCount: 1 } },
};

function entry(offset: number, content: ConfigPatch, refinesVersion: number) {
  return {
    offset,
    appendedAtMs: offset,
    record: {
      kind: "config" as const,
      recordId: `record-${offset}`,
      refinesVersion,
      patch: content,
      author: "test",
      publishedAtMs: 0,
    },
  };
}

describe("a configuration change", () => {
  it("is valid exactly when the resulting configuration is", () => {
    let acceptedCount = 0;
    fc.assert(
      fc.property(fc.array(patch, { maxLength: 12 }), (patches) => {
        let state = emptyConfigState();
        [BASE_PATCH, ...patches].forEach((each, offset) => {
          const after = applyConfigPatch(state.config, each);
          const isWholeValid = checkConfig({
            content: after,
            sources: new Map(),
          }).isRight();
          expect(isValidChange(after, each)).toEqual(isWholeValid);
          const before = state;
          state = foldConfigRecord(state, entry(offset, each, state.version));
          expect(state !== before).toEqual(isWholeValid);
          if (isWholeValid) acceptedCount += 1;
        });
      }),
      { seed: 11, numRuns: 1_000 },
    );
    expect(acceptedCount).toBeGreaterThan(2_000);
  });

  it("leaves its arguments unchanged and shares unpatched values", () => {
    const before = {
      availabilityZones: { a: {}, b: {} },
      deployments: {},
      services: {},
      organisations: {},
    } satisfies ConfigSet;
    const text = JSON.stringify(before);
    const after = applyConfigPatch(before, {
      availabilityZones: { a: { region: "east" }, b: null },
    }) as ConfigSet;
    expect(JSON.stringify(before)).toEqual(text);
    expect(after.availabilityZones).toEqual({ a: { region: "east" } });
    expect(after.services === before.services).toEqual(true);
  });
});
