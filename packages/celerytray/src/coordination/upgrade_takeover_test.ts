import { expect } from "earl";
import { Effect } from "effect";
import { describe, it } from "node:test";
import { encodeLeader } from "../groups/index.ts";
import { createPosition } from "../keyed_log/index.ts";
import type { FleetRecords } from "./leader_log.ts";
import {
  decodeLeadingProcess,
  encodeLeadingProcess,
  LEADER_GENERATION,
  type LeadingProcess,
} from "./leading_process.ts";
import { UpgradeTakeover } from "./upgrade_takeover.ts";

const TERM = 7;
const EARLIER: LeadingProcess = {
  nodeId: "front-1",
  bootId: "boot-1",
  peerAddress: "127.0.0.1:1",
  term: TERM,
};
const NEWER = { ...EARLIER, generation: LEADER_GENERATION };
/** Time in which the lead of an earlier version is taken. */
const DUE_MS = 2_000;

describe("UpgradeTakeover", () => {
  it("is due after a while with a sound leader of an earlier version", () => {
    const { takeover } = create({});
    expect(findDueMs(takeover, EARLIER) < DUE_MS).toEqual(true);
  });

  it("is never due with a leader of its own version or a newer one", () => {
    const { takeover } = create({});
    expect(findDueMs(takeover, NEWER)).toEqual(Infinity);
    const newest = { ...NEWER, generation: LEADER_GENERATION + 1 };
    expect(findDueMs(takeover, newest)).toEqual(Infinity);
  });

  // Guards against a change of the lead beside an unstable store.
  it("waits anew after each moment that was not sound", () => {
    const { takeover } = create({});
    for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
      const isSound = nowMs % 1_000 !== 0;
      expect(isDue(takeover, { leader: EARLIER, nowMs, isSound }))
        .toEqual(false);
    }
  });

  it("leads once in the life of a process", async () => {
    const { takeover, claims } = create({ stored: EARLIER });
    expect(await attempt(takeover)).toEqual("led");
    expect(findDueMs(takeover, { ...EARLIER, term: 9 })).toEqual(Infinity);
    expect(claims.length).toEqual(1);
  });

  it("tries again later if it could not claim the lead", async () => {
    const { takeover } = create({ stored: EARLIER, canClaim: false });
    expect(await attempt(takeover)).toEqual("kept");
    expect(findDueMs(takeover, EARLIER) < DUE_MS).toEqual(true);
  });

  it("leaves the lead where the store does not answer", async () => {
    const { takeover, claims } = create({ isStoreDown: true });
    expect(await attempt(takeover)).toEqual("kept");
    expect(claims).toEqual([]);
  });

  it("leaves the lead where the store came back from a copy", async () => {
    const { takeover, claims } = create({
      stored: EARLIER,
      nextOffset: createPosition({ era: 1, offset: 3 }),
    });
    expect(await attempt(takeover)).toEqual("kept");
    expect(claims).toEqual([]);
  });

  it("leaves the lead to a process that has claimed it since", async () => {
    const stored = { ...EARLIER, nodeId: "front-2", term: TERM + 2 };
    const { takeover, claims } = create({ stored });
    expect(await attempt(takeover)).toEqual("succeeded");
    expect(claims).toEqual([]);
  });

  // Guards against a lead that is taken from an equal, as a process of an earlier
  // version between them left out its generation.
  it("believes the leader's own record, not what others pass on", async () => {
    const { takeover, claims } = create({ stored: NEWER });
    expect(await attempt(takeover)).toEqual("kept");
    expect(claims).toEqual([]);
    expect(findDueMs(takeover, EARLIER)).toEqual(Infinity);
  });
});

describe("the record of a leader", () => {
  const offset = TERM - 1;
  const decode = (value: Buffer) =>
    decodeLeadingProcess({ key: "lead", value, offset });

  it("tells its generation", () => {
    expect(decode(encodeLeadingProcess(NEWER))).toEqual(NEWER);
  });

  it("tells none where an earlier version wrote it", () => {
    expect(decode(encodeLeader(EARLIER))).toEqual(EARLIER);
  });

  for (const generation of [-1, 0.5, "1", null, {}]) {
    it(`is read without a generation that is none: ${JSON.stringify(generation)}`, () => {
      const value = Buffer.from(JSON.stringify({ ...EARLIER, generation }));
      expect(decode(value)).toEqual(EARLIER);
    });
  }

  it("is not read from what is no record", () => {
    expect(decode(Buffer.from("[]"))).toEqual(undefined);
    expect(decode(Buffer.from("x"))).toEqual(undefined);
    expect(decodeLeadingProcess({ key: "lead", offset })).toEqual(undefined);
  });
});

function create(options: {
  readonly stored?: LeadingProcess;
  readonly nextOffset?: number;
  readonly isStoreDown?: boolean;
  readonly canClaim?: boolean;
}) {
  const { stored, nextOffset = TERM, isStoreDown, canClaim = true } = options;
  const records: FleetRecords = {
    replicas: [],
    quarantined: [],
    nextOffset,
    ...(stored === undefined ? {} : { leader: stored }),
  };
  const claims: FleetRecords[] = [];
  const takeover = new UpgradeTakeover({
    generation: LEADER_GENERATION,
    search: {
      readRecords: () => Effect.succeed(isStoreDown ? undefined : records),
      shouldFollow: (leader) => leader !== undefined && leader.term > TERM,
    },
    terms: {
      claim: (read) => {
        claims.push(read);
        return Effect.succeed(canClaim);
      },
    },
    random: () => 0.5,
    record: () => {},
  });
  return { takeover, claims };
}

function attempt(takeover: UpgradeTakeover) {
  return Effect.runPromise(takeover.attempt(EARLIER));
}

function isDue(
  takeover: UpgradeTakeover,
  { leader, nowMs, isSound }: {
    readonly leader: LeadingProcess;
    readonly nowMs: number;
    readonly isSound: boolean;
  },
): boolean {
  return takeover.isDue({ leader, nowMs, isSound });
}

/** Time until the lead is to be taken, infinite if never. */
function findDueMs(takeover: UpgradeTakeover, leader: LeadingProcess): number {
  for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
    if (isDue(takeover, { leader, nowMs, isSound: true })) return nowMs;
  }
  return Infinity;
}
