import { expect } from "earl";
import { Right } from "purify-ts";
import { describe, it } from "node:test";
import { createPosition, type EraStart } from "../keyed_log/index.ts";
import { InstanceListView } from "./instance_list.ts";
import type { InstanceState } from "./instance_state.ts";
import { REWRITE_MS } from "./store_return.ts";

const RETURNED_AT_MS = 1_000;
const SETTLED_AT_MS = RETURNED_AT_MS + REWRITE_MS;

// Guards against instances that had left, drained or joined a replica and are
// used as they were before, as a store's older copy lists them.
describe("InstanceListView over a store's return from an older copy", () => {
  it("keeps draining what drained before", () => {
    const { view, list, write } = createView();
    list({ offset: 1, sequence: 1 });
    write({ offset: 4, sequence: 2, state: "draining" });
    list({ era: 1, offset: 1, sequence: 1 });
    expect(view.find("a")?.isDraining).toEqual(true);
    // So that processes that know only the copy are told.
    expect(view.listUnconfirmedLeaving())
      .toEqual([{ instanceId: "a", bornAtMs: 5 }]);
    // A new incarnation under the same id is another instance.
    write({ era: 1, offset: 2, sequence: 1, bornAtMs: 9 });
    expect(view.find("a")?.isDraining).toEqual(false);
  });

  // Guards against requests to an instance whose report that it drains is held
  // back, as it comes with the first list after the return and no order came.
  it("believes at once that an instance drains", () => {
    for (const bornAtMs of [5, null]) {
      const { view, list } = createView();
      list({ offset: 1, sequence: 0, bornAtMs });
      list({ era: 1, offset: 2, sequence: 0, bornAtMs, state: "draining" });
      expect(view.find("a")?.isDraining).toEqual(true);
    }
  });

  it("doesn't take an earlier incarnation's draining for a later one's", () => {
    const { view, list } = createView();
    list({ offset: 4, sequence: 0, bornAtMs: 9 });
    list({ era: 1, offset: 2, sequence: 0, bornAtMs: 5, state: "draining" });
    expect(view.find("a")?.isDraining).toEqual(false);
  });

  it("keeps a membership that the copy lacks", () => {
    const { view, list, write } = createView();
    list({ offset: 1, sequence: 1 });
    write({ offset: 4, sequence: 2, replica: "r4-1" });
    list({ era: 1, offset: 1, sequence: 1 });
    expect(view.find("a")?.membership?.replica).toEqual("r4-1");
    expect(view.isSettled("a", RETURNED_AT_MS)).toEqual(false);
    write({ era: 1, offset: 2, sequence: 3 });
    expect(view.find("a")?.membership).toEqual(undefined);
    expect(view.isSettled("a", RETURNED_AT_MS)).toEqual(true);
  });

  // Guards against a process that keeps to what it knew of instances which had
  // written anew before it read the list, and don't count what they write.
  it("believes the list once instances have had the time to write anew", () => {
    const { view, list } = createView();
    list({ offset: 4, sequence: 2, replica: "r4-1" });
    list({ era: 1, offset: 1, sequence: 2, replica: "r5-1" });
    view.settle(SETTLED_AT_MS - 1);
    expect(view.find("a")?.membership?.replica).toEqual("r4-1");
    view.settle(SETTLED_AT_MS);
    expect(view.find("a")?.membership?.replica).toEqual("r5-1");
  });

  it("keeps removed what was removed, unless it is written anew", () => {
    const { view, list, write, remove } = createView();
    list({ offset: 1, sequence: 1 });
    remove({ offset: 4 });
    list({ era: 1, offset: 1, sequence: 1 });
    expect(view.find("a")).toEqual(undefined);
    write({ era: 1, offset: 2, sequence: 2 });
    expect(view.find("a")?.id).toEqual("a");
  });

  it("keeps for a while what the copy lacks", () => {
    const { view, list, readEmpty } = createView();
    list({ offset: 1, sequence: 1 });
    readEmpty({ era: 1, offset: 1 });
    view.settle(SETTLED_AT_MS - 1);
    expect(view.find("a")?.id).toEqual("a");
    view.settle(SETTLED_AT_MS);
    expect(view.find("a")).toEqual(undefined);
  });

  it("keeps for a while what another process found missing", () => {
    const { view, list, remove } = createView();
    list({ offset: 1, sequence: 1 });
    // A relay marks what the copy lacks as deleted just before its end.
    remove({ era: 1, offset: 0 });
    expect(view.find("a")?.id).toEqual("a");
    list({ era: 1, offset: 2, sequence: 2 });
    view.settle(SETTLED_AT_MS);
    expect(view.find("a")?.id).toEqual("a");
  });

  // Guards against a deletion or an entry that is held back as the copy's, as
  // this process reads the list later than others, behind what was written since.
  it("believes what another process saw written after the return", () => {
    const { view, list, remove, write } = createView();
    list({ offset: 1, sequence: 0, replica: "r4-1" });
    remove({ era: 1, offset: 3 });
    expect(view.find("a")?.id).toEqual("a");
    view.noteEraStart(startAt({ copyEnd: 3 }), RETURNED_AT_MS);
    expect(view.find("a")).toEqual(undefined);
    write({ era: 1, offset: 4, sequence: 0 });
    expect(view.find("a")?.id).toEqual("a");
    expect(view.isSettled("a", RETURNED_AT_MS)).toEqual(true);
  });

  // Guards against a process that holds back for 2 s what it reads late, though
  // the store came back longer ago, as its own earlier answer or a peer showed.
  it("counts the time to write anew from the return", () => {
    const { view, list, readEmpty } = createView();
    list({ offset: 1, sequence: 0 });
    const returnedAtMs = RETURNED_AT_MS - REWRITE_MS;
    readEmpty({ era: 1, offset: 2 }, startAt({ copyEnd: 2, returnedAtMs }));
    expect(view.find("a")).toEqual(undefined);
  });

  // Guards against an instance that is used again though it has left, as only the
  // copy listed it and its deletion was deleted as well before it was read.
  it("doesn't believe the copy's entry of an instance that a later read lacks", () => {
    const { view, list, remove, readEmpty } = createView();
    list({ offset: 1, sequence: 0 });
    remove({ offset: 5 });
    list({ era: 1, offset: 1, sequence: 0 });
    readEmpty({ era: 1, offset: 4 });
    view.settle(SETTLED_AT_MS);
    expect(view.find("a")).toEqual(undefined);
  });

  it("forgets what an earlier return left open", () => {
    const { view, list, readEmpty } = createView();
    list({ offset: 5, sequence: 1 });
    list({ era: 1, offset: 4, sequence: 0 });
    readEmpty({ era: 2, offset: 3 });
    view.settle(SETTLED_AT_MS);
    expect(view.find("a")).toEqual(undefined);
  });

  it("trusts an entry of a starting process once it is written anew", () => {
    const { view, list, write } = createView();
    list({ era: 1, offset: 1, sequence: 1 });
    expect(view.isSettled("a", RETURNED_AT_MS)).toEqual(false);
    expect(view.isSettled("a", SETTLED_AT_MS)).toEqual(true);
    write({ era: 1, offset: 2, sequence: 2 });
    expect(view.isSettled("a", RETURNED_AT_MS)).toEqual(true);
  });

  it("trusts all entries of a store that never came back", () => {
    const { view, list } = createView();
    list({ offset: 1, sequence: 1 });
    expect(view.isSettled("a", 0)).toEqual(true);
  });
});

interface Entry {
  readonly offset: number;
  readonly sequence: number;
  readonly era?: number;
  /** Null if it isn't reported. */
  readonly bornAtMs?: number | null;
  readonly state?: "ready" | "draining";
  readonly replica?: string;
}

/** Creates a view of one instance, `a`. */
function createView() {
  const view = new InstanceListView({
    decode: (_id, text) => Right(JSON.parse(text) as InstanceState),
    onMalformed: () => {},
  });
  const apply = (entry: Entry, isFullRead: boolean) => {
    const offset = positionOf(entry);
    const value = Buffer.from(JSON.stringify(createState(entry)));
    const records = [{ key: "a", value, offset }];
    const nextOffset = offset + 1;
    view.apply({ isFullRead, records, nextOffset }, RETURNED_AT_MS);
  };
  return {
    view,
    list: (entry: Entry) => apply(entry, true),
    write: (entry: Entry) => apply(entry, false),
    remove: (at: Pick<Entry, "era" | "offset">) => {
      const offset = positionOf(at);
      view.apply({
        isFullRead: false,
        records: [{ key: "a", offset }],
        nextOffset: offset + 1,
      }, RETURNED_AT_MS);
    },
    readEmpty: (at: Pick<Entry, "era" | "offset">, eraStart?: EraStart) =>
      view.apply({
        isFullRead: true,
        records: [],
        nextOffset: positionOf(at),
        ...(eraStart === undefined ? {} : { eraStart }),
      }, RETURNED_AT_MS),
  };
}

/** Start of era 1. */
function startAt(
  { copyEnd, returnedAtMs = RETURNED_AT_MS }: {
    readonly copyEnd: number;
    readonly returnedAtMs?: number;
  },
): EraStart {
  return {
    copyEnd: positionOf({ era: 1, offset: copyEnd }),
    returnedAtMs,
  };
}

function positionOf({ era = 0, offset }: Pick<Entry, "era" | "offset">) {
  return createPosition({ era, offset });
}

function createState(
  { sequence, bornAtMs = 5, state, replica }: Entry,
): InstanceState {
  return {
    id: "a",
    service: "s",
    address: "a:1",
    zone: "z",
    slots: 1,
    isDraining: state === "draining",
    ...(bornAtMs === null ? {} : { bornAtMs }),
    sequence,
    stagedModels: [],
    ...(replica === undefined
      ? {}
      : { membership: { replica, epoch: 5, rank: 0, state: "open" } }),
  };
}
