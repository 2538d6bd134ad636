import type { LogRecord } from "@celerytray/schema";
import { expect } from "earl";
import { HashMap } from "effect";
import fc from "fast-check";
import { describe, it } from "node:test";
import type { LogEntry } from "../log/index.ts";
import { fleetSnapshotCodec } from "./fleet_snapshot.ts";
import {
  createReplicaId,
  emptyFleetState,
  type FleetState,
  foldFleetRecord,
} from "./fold_fleet_record.ts";

const slot = fc.record({
  service: fc.constantFrom("draftwriter", "lotdesk"),
  slot: fc.nat({ max: 1 }),
});
const members = fc.array(fc.constantFrom("a", "b", "c", "d", "e"), {
  minLength: 1,
  maxLength: 3,
}) as fc.Arbitrary<[string, ...string[]]>;
const ids = { recordId: "r", proposer: "p", reason: "test" };
const record: fc.Arbitrary<LogRecord> = fc.oneof(
  fc.tuple(slot, members).map(([at, chosen]): LogRecord => ({
    ...at,
    kind: "form",
    recordId: "r",
    proposer: "p",
    members: chosen,
  })),
  fc.tuple(slot, fc.nat({ max: 30 })).map(([at, fencingNumber]): LogRecord => ({
    ...at,
    ...ids,
    kind: "dissolve",
    fencingNumber,
  })),
  fc.tuple(slot, fc.nat({ max: 30 }), members).map((
    [at, fencingNumber, chosen],
  ): LogRecord => ({
    ...at,
    ...ids,
    kind: "replace",
    fencingNumber,
    members: chosen,
  })),
);
const entries = fc.array(record, { maxLength: 40, size: "max" }).map((
  records,
) =>
  records.map((each, offset): LogEntry => ({
    offset,
    appendedAtMs: offset,
    record: each,
  }))
);

describe("foldFleetRecord", () => {
  it("never puts an instance in two replicas", () => {
    fc.assert(
      fc.property(entries, (log) => {
        let state = emptyFleetState();
        for (const entry of log) {
          state = foldFleetRecord(state, entry);
          const taken = listMembers(state);
          expect(new Set(taken).size).toEqual(taken.length);
          expect(HashMap.size(state.replicaIdByMember)).toEqual(taken.length);
        }
      }),
      { seed: 41, numRuns: 500 },
    );
  });

  it("gives a replica a higher fencing number at each change", () => {
    fc.assert(
      fc.property(entries, (log) => {
        let state = emptyFleetState();
        for (const entry of log) {
          const next = foldFleetRecord(state, entry);
          for (const replica of HashMap.values(next.replicas)) {
            const before = findReplica(state, replica.replicaId);
            const isSame = before !== undefined &&
              before.fencingNumber === replica.fencingNumber;
            if (isSame) expect(replica).toEqual(before);
            else expect(replica.fencingNumber).toEqual(entry.offset);
          }
          state = next;
        }
      }),
      { seed: 42, numRuns: 500 },
    );
  });

  it("ignores records with another fencing number", () => {
    fc.assert(
      fc.property(entries, (log) => {
        let state = emptyFleetState();
        for (const entry of log) {
          const next = foldFleetRecord(state, entry);
          const { record } = entry;
          if (record.kind === "dissolve" || record.kind === "replace") {
            const replicaId = createReplicaId(record.service, record.slot);
            const known = findReplica(state, replicaId);
            const isCurrent = known?.fencingNumber === record.fencingNumber;
            if (!isCurrent) expect(next.replicas).toEqual(state.replicas);
          }
          state = next;
        }
      }),
      { seed: 46, numRuns: 500 },
    );
  });

  it("gives the same state from any snapshot and duplicate records", () => {
    fc.assert(
      fc.property(entries, fc.nat(), fc.nat(), (log, at, back) => {
        const whole = log.reduce(foldFleetRecord, emptyFleetState());
        const cut = log.length === 0 ? 0 : at % log.length;
        const before = log.slice(0, cut).reduce(
          foldFleetRecord,
          emptyFleetState(),
        );
        const text = JSON.stringify(fleetSnapshotCodec.encode(before));
        const restored = fleetSnapshotCodec.decode(JSON.parse(text))!;
        const from = Math.max(0, cut - back % (cut + 1));
        const again = log.slice(from).reduce(foldFleetRecord, restored);
        expect(describeState(again)).toEqual(describeState(whole));
      }),
      { seed: 43, numRuns: 500 },
    );
  });
});

function listMembers(state: FleetState): string[] {
  return [...HashMap.values(state.replicas)].flatMap(({ members }) => members);
}

function findReplica(state: FleetState, replicaId: string) {
  return [...HashMap.values(state.replicas)].find((replica) =>
    replica.replicaId === replicaId
  );
}

function describeState(state: FleetState) {
  const byId = (a: { replicaId: string }, b: { replicaId: string }) =>
    a.replicaId < b.replicaId ? -1 : 1;
  return {
    replicas: [...HashMap.values(state.replicas)].toSorted(byId),
    members: [...HashMap.entries(state.replicaIdByMember)].toSorted(),
  };
}
