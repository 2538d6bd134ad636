import type { ConfigSet, LogRecord } from "@celerytray/schema";
import {
  ClaimTable,
  emptyConfigState,
  emptyFleetState,
  foldConfigRecord,
  foldFleetRecord,
  type LogEntry,
  Timeline,
} from "celerytray";
import { createHash } from "node:crypto";
import { measureMicroseconds, measureRetainedBytes } from "./measure.ts";
import type { SlopeMeasurement } from "./slope.ts";

const MEMBERS_PER_REPLICA = 8;
const CONFIG_CHANGES = 50;
const CLAIM_POLICY = { windowMs: 3_600_000, maxClockErrorMs: 1_000 };

/** Slopes of the state that is built from log records. */
export const stateSlopes: readonly SlopeMeasurement[] = [
  {
    name: "fleet state",
    per: "replicas",
    unit: "bytes",
    sizes: [1_000, 2_000, 4_000, 8_000],
    measure: (size) =>
      Promise.resolve(measureRetainedBytes(() => foldFleet(size))),
  },
  {
    name: "fleet fold",
    per: "records",
    unit: "microseconds",
    sizes: [1_000, 2_000, 4_000, 8_000],
    measure: (size) =>
      Promise.resolve(measureMicroseconds(() => foldFleet(size))),
  },
  {
    name: "configuration state",
    per: "organisations",
    unit: "bytes",
    sizes: [100, 200, 400, 800],
    measure: (size) =>
      Promise.resolve(measureRetainedBytes(() => foldConfig(size))),
  },
  {
    name: "one change of a limit, folded",
    per: "organisations",
    unit: "microseconds",
    sizes: [100, 200, 400, 800],
    measure: (size) => Promise.resolve(measureConfigChange(size)),
  },
  {
    name: "claim state",
    per: "claims",
    unit: "bytes",
    sizes: [5_000, 10_000, 20_000, 40_000],
    measure: (size) =>
      Promise.resolve(measureRetainedBytes(() => foldClaims(size))),
  },
  {
    name: "claim fold, claim and outcome",
    per: "claims",
    unit: "microseconds",
    sizes: [5_000, 10_000, 20_000, 40_000],
    measure: (size) =>
      Promise.resolve(measureMicroseconds(() => foldClaims(size))),
  },
  {
    name: "time line",
    per: "events",
    unit: "bytes",
    sizes: [2_000, 4_000, 8_000],
    measure: (size) =>
      Promise.resolve(measureRetainedBytes(() => fillTimeline(size))),
  },
];

function foldFleet(replicaCount: number): unknown {
  let state = emptyFleetState();
  for (let slot = 0; slot < replicaCount; slot++) {
    const [head, ...rest] = Array.from(
      { length: MEMBERS_PER_REPLICA },
      (_, rank) => `instance-${slot}-${rank}`,
    );
    state = foldFleetRecord(
      state,
      createEntry(slot, {
        kind: "form",
        recordId: `form-${slot}`,
        service: "drafter",
        slot,
        members: [head!, ...rest],
        proposer: "entry-0",
      }),
    );
  }
  return state;
}

function foldConfig(organisationCount: number) {
  return foldConfigRecord(
    emptyConfigState(),
    createEntry(0, {
      kind: "config",
      recordId: "config-0",
      refinesVersion: 0,
      patch: { ...createConfig(organisationCount) },
      author: "operator",
      publishedAtMs: 0,
    }),
  );
}

/** Returns the mean time to apply one change, over 50 changes. */
function measureConfigChange(organisationCount: number): number {
  const base = foldConfig(organisationCount);
  const applyChanges = () => {
    let state = base;
    for (let change = 1; change <= CONFIG_CHANGES; change++) {
      const organisations = {
        "organisation-0": { requestsPerSecond: change },
      };
      state = foldConfigRecord(
        state,
        createEntry(change, {
          kind: "config",
          recordId: `config-${change}`,
          refinesVersion: state.version,
          patch: { organisations },
          author: "operator",
          publishedAtMs: 0,
        }),
      );
    }
    if (state.version !== base.version + CONFIG_CHANGES) {
      throw new Error(
        "A configuration change was not accepted; correct the patch that is measured",
      );
    }
  };
  return measureMicroseconds(applyChanges) / CONFIG_CHANGES;
}

function createConfig(organisationCount: number): ConfigSet {
  const organisations = Object.fromEntries(
    Array.from({ length: organisationCount }, (_, index) => [
      `organisation-${index}`,
      {
        apiKeySha256: [createHash("sha256").update(`${index}`).digest("hex")],
        services: ["drafter"],
        requestsPerSecond: 10,
      },
    ]),
  );
  return {
    availabilityZones: { "zone-a": {} },
    organisations,
    deployments: { dispatcher: { weighting: "group-downtime" } },
    services: {
      drafter: {
        kind: "model",
        deployment: "dispatcher",
        replicaCount: 65,
        instancesPerReplica: MEMBERS_PER_REPLICA,
        model: "drafter",
      },
    },
  };
}

function foldClaims(claimCount: number): unknown {
  const table = new ClaimTable(CLAIM_POLICY);
  for (let index = 0; index < claimCount; index++) {
    const claimRecordId = `claim-${index}`;
    const records: LogRecord[] = [
      {
        kind: "claim",
        recordId: claimRecordId,
        organisation: "organisation-0",
        service: "slotbook",
        key: `booking-${index}`,
        requestSha256: "0".repeat(64),
        keyIssuedAtMs: 0,
        claimant: "entry-0",
      },
      {
        kind: "outcome",
        recordId: `outcome-${index}`,
        claimRecordId,
        outcome: {
          state: "ran",
          status: 201,
          bodyBase64: Buffer.from(`{"booking":${index}}`).toString("base64"),
        },
      },
    ];
    for (const [part, record] of records.entries()) {
      table.apply(createEntry(2 * index + part, record));
    }
  }
  return table;
}

function fillTimeline(eventCount: number): Timeline {
  const timeline = new Timeline({ process: "entry-0" });
  for (let index = 0; index < eventCount; index++) {
    timeline.record("attempt.started", {
      requestId: `req-${index}`,
      replicaId: `drafter/${index % 65}`,
      nowMs: index,
    });
  }
  return timeline;
}

function createEntry(offset: number, record: LogRecord): LogEntry {
  return { offset, appendedAtMs: offset, record };
}
