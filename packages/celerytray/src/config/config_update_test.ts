import type { ConfigSet } from "@celerytray/schema";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  adoptConfigUpdate,
  type ConfigPosition,
  createConfigSnapshot,
  createConfigUpdate,
} from "./config_update.ts";
import { emptyConfigState, foldConfigRecord } from "./fold_config_record.ts";

const HISTORY_LENGTH = 100;
const HISTORY = createHistory();

/** Positions after each of a run of changes, indexed by version. */
function createHistory(): ConfigPosition[] {
  const history: ConfigPosition[] = [
    { state: emptyConfigState(), nextOffset: 0 },
  ];
  for (let offset = 0; offset < HISTORY_LENGTH; offset++) {
    const state = foldConfigRecord(history.at(-1)!.state, {
      offset,
      appendedAtMs: offset,
      record: {
        kind: "config",
        recordId: `record-${offset}`,
        refinesVersion: offset,
        patch: { availabilityZones: { [`zone-${offset % 7}`]: {} } },
        author: "test",
        publishedAtMs: 0,
      },
    });
    history.push({ state, nextOffset: offset + 1 });
  }
  return history;
}

const version = fc.integer({ min: 1, max: HISTORY_LENGTH });

describe("updates between entry instances", () => {
  it("never lower the version, and give the same state as the log", () => {
    const source = fc.record({
      version,
      sinceVersion: fc.nat(HISTORY_LENGTH),
      isWhole: fc.boolean(),
    });
    fc.assert(
      fc.property(version, fc.array(source), (start, sources) => {
        let position = HISTORY[start]!;
        for (const { version, sinceVersion, isWhole } of sources) {
          const peer = HISTORY[version]!;
          const update = isWhole
            ? {
              nextOffset: peer.nextOffset,
              snapshot: createConfigSnapshot(peer, "snapshot"),
            }
            : createConfigUpdate(peer, { sinceVersion, recordId: "snapshot" });
          if (update === undefined) continue;
          const before = position.state.version;
          position = adoptConfigUpdate(position, update).orDefault(position);
          expect(position.state.version).toBeGreaterThanOrEqual(before);
          const expected = HISTORY[position.state.version]!;
          expect(position.state.config).toEqual(expected.state.config);
          expect(position.nextOffset).toEqual(expected.nextOffset);
        }
      }),
      { seed: 31, numRuns: 500 },
    );
  });

  it("are refused when damaged or when the configuration is invalid", () => {
    const peer = HISTORY[90]!;
    const snapshot = createConfigSnapshot(peer, "snapshot");
    const dangling = {
      ...peer.state.config,
      services: {
        lost: { kind: "plain", deployment: "none", replicaCount: 1 },
      },
    } satisfies ConfigSet;
    const damaged = [
      { ...snapshot, config: dangling },
      { ...snapshot, config: { surplus: 1 } },
      { ...snapshot, offset: snapshot.nextOffset },
      { ...snapshot, version: -1 },
    ];
    for (const each of damaged) {
      const update = { nextOffset: 90, snapshot: each };
      const adopted = adoptConfigUpdate(HISTORY[3]!, update);
      expect(adopted.extract() as unknown).toEqual("invalid");
    }
  });
});
