import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import type { LogEntry } from "../log/index.ts";
import { ClaimTable, createClaimKey } from "./claim_table.ts";

const POLICY = { windowMs: 100, maxClockErrorMs: 10 };
const CALL = { organisation: "patan", service: "slotbook", key: "k" };

describe("ClaimTable", () => {
  it("grants a key at most once, however late its claims arrive", () => {
    const times = fc.array(fc.nat(60), { minLength: 1, maxLength: 20 });
    const property = fc.property(
      times,
      fc.integer({ min: -10, max: 10 }),
      (gapsMs, clockErrorMs) => {
        const table = new ClaimTable(POLICY);
        let nowMs = 1_000;
        const keyIssuedAtMs = nowMs + clockErrorMs;
        const holders = new Set<string>();
        for (const [offset, gapMs] of gapsMs.entries()) {
          const recordId = `record-${offset}`;
          table.apply(
            claimEntry({
              recordId,
              offset,
              keyIssuedAtMs,
              appendedAtMs: nowMs,
            }),
          );
          const holder = table.find(createClaimKey(CALL));
          if (holder !== undefined) holders.add(holder.claimRecordId);
          nowMs += gapMs;
        }
        expect([...holders]).toEqual(["record-0"]);
      },
    );
    fc.assert(property, { seed: 6, numRuns: 500 });
  });

  it("drops claims older than the window plus the clock error", () => {
    const table = new ClaimTable(POLICY);
    for (let offset = 0; offset < 1_000; offset++) {
      table.apply(claimEntry({
        recordId: `record-${offset}`,
        key: `key-${offset}`,
        offset,
        appendedAtMs: offset,
      }));
    }
    expect(table.size).toEqual(111);
  });

  it("ignores a claim that arrives after its release", () => {
    const table = new ClaimTable(POLICY);
    table.apply(releaseEntry(0));
    table.apply(claimEntry({ recordId: "late", offset: 1 }));
    expect(table.find(createClaimKey(CALL))).toEqual(undefined);
  });

  it("gives a released key to the next claim, not to an earlier one", () => {
    const table = new ClaimTable(POLICY);
    table.apply(claimEntry({ recordId: "late", offset: 0 }));
    table.apply(releaseEntry(1));
    table.apply(claimEntry({ recordId: "late", offset: 2 }));
    table.apply(claimEntry({ recordId: "next", offset: 3 }));
    table.apply(releaseEntry(4));
    const holder = table.find(createClaimKey(CALL));
    expect(holder?.claimRecordId).toEqual("next");
  });
});

interface ClaimEntryOptions {
  readonly recordId: string;
  readonly offset: number;
  readonly key?: string;
  readonly keyIssuedAtMs?: number;
  readonly appendedAtMs?: number;
}

function claimEntry(options: ClaimEntryOptions): LogEntry {
  const { recordId, offset, appendedAtMs = offset, key = "k" } = options;
  const { keyIssuedAtMs } = options;
  return {
    offset,
    appendedAtMs,
    record: {
      ...CALL,
      key,
      kind: "claim",
      recordId,
      requestSha256: "digest",
      claimant: "entry",
      ...(keyIssuedAtMs === undefined ? {} : { keyIssuedAtMs }),
    },
  };
}

function releaseEntry(offset: number): LogEntry {
  return {
    offset,
    appendedAtMs: offset,
    record: {
      kind: "outcome",
      recordId: `release-${offset}`,
      claimRecordId: "late",
      outcome: { state: "not-run" },
    },
  };
}
