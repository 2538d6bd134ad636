import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  decodeRelayedChange,
  type KeyedRecord,
  TopicCopy,
} from "../keyed_log/index.ts";
import { EvacuationView } from "./evacuation_view.ts";

const PREFIX = "evacuate/";
const SEED = 23;

describe("EvacuationView", () => {
  it("follows evacuations that are given and taken back in series", () => {
    const world = createWorld();
    for (let round = 0; round < 3; round++) {
      world.put("a");
      expect(world.view.isEvacuated("a")).toEqual(true);
      world.drop("a");
      expect(world.view.isEvacuated("a")).toEqual(false);
    }
    expect(world.events.length).toEqual(6);
  });

  it("keeps one zone evacuated while another one's evacuation ends", () => {
    const world = createWorld();
    world.put("a");
    world.put("b");
    world.drop("a");
    expect(world.view.list(0).map(({ zone }) => zone)).toEqual(["b"]);
    expect(world.events).toEqual(["+a", "+b", "-a"]);
  });

  // Guards against instances that count as warm though other processes saw
  // the evacuation.
  it("tells of the end of one that began and ended between two updates", () => {
    const world = createWorld();
    world.put("a", { isSilent: true });
    world.drop("a");
    expect(world.events).toEqual(["-a"]);
  });

  it("ends one whose key a whole reading lacks, and keeps one that it has", () => {
    const world = createWorld();
    world.put("a");
    world.put("b");
    world.readWhole(["b"]);
    expect(world.events).toEqual(["+a", "+b", "-a"]);
    expect(world.view.isEvacuated("b")).toEqual(true);
  });

  it("is in force from a process's first reading on, without old ends", () => {
    const world = createWorld({ isUnread: true });
    world.readWhole(["a"]);
    expect(world.events).toEqual(["+a"]);
  });

  it("evacuates despite an unreadable value and logs it once", () => {
    for (const value of ["", "[]", "nonsense", "\u0000"]) {
      const world = createWorld();
      world.put("a", { value });
      world.update();
      expect(world.view.isEvacuated("a")).toEqual(true);
      expect(world.malformed).toEqual(["evacuate/a"]);
    }
  });

  it("passes over a key without a zone, and other keys", () => {
    const world = createWorld();
    world.put("");
    world.append({ key: "config", value: Buffer.from("{}") });
    expect(world.malformed).toEqual(["evacuate/"]);
    expect([world.events, world.view.list(0)]).toEqual([[], []]);
  });

  // Guards against records that come late from a peer after a newer reading.
  it("agrees with the topic however its changes are told", () => {
    const change = fc.record({
      zone: fc.constantFrom("a", "b", "c"),
      isPut: fc.boolean(),
      how: fc.constantFrom("read", "told", "late", "lost" as const),
    });
    fc.assert(
      fc.property(fc.array(change, { maxLength: 30 }), (changes) => {
        const world = createWorld();
        for (const { zone, isPut, how } of changes) {
          if (how === "late") world.repeatOldest();
          else if (how === "lost") world.readWhole(world.listStored());
          else if (how === "told") world.tell();
          const options = { isSilent: how === "told" };
          if (isPut) world.put(zone, options);
          else world.drop(zone, options);
        }
        world.tell();
        expect(world.view.list(0).map(({ zone }) => zone).sort())
          .toEqual([...world.listStored()].sort());
      }),
      { seed: SEED },
    );
  });
});

/** A topic, a peer that reads it and a process that reads or is told. */
function createWorld(options: { readonly isUnread?: boolean } = {}) {
  const events: string[] = [];
  const malformed: string[] = [];
  const view = new EvacuationView({
    prefix: PREFIX,
    onStarted: (zone) => events.push(`+${zone}`),
    onEnded: (zone) => events.push(`-${zone}`),
    onMalformed: (key) => malformed.push(key),
  });
  const peer = new TopicCopy();
  const copy = new TopicCopy();
  const stored = new Map<string, KeyedRecord>();
  const history: KeyedRecord[] = [];
  let nextOffset = 1;
  const update = () => view.update(copy.list(PREFIX), 0);
  const apply = (record: KeyedRecord, isSilent = false) => {
    stored.set(record.key, record);
    history.push(record);
    nextOffset = record.offset + 1;
    peer.apply({ isFullRead: false, records: [record], nextOffset });
    if (isSilent) return;
    // A read goes on where the last one, or the last answer, ended.
    const records = history.filter(({ offset }) => offset >= copy.nextOffset);
    copy.apply({ isFullRead: false, records, nextOffset });
    update();
  };
  const readWhole = (zones: readonly string[]) => {
    nextOffset += 1;
    const records = zones.map((zone): KeyedRecord =>
      stored.get(PREFIX + zone) ??
        { key: PREFIX + zone, value: Buffer.from("{}"), offset: 0 }
    );
    for (const each of [peer, copy]) {
      each.apply({ isFullRead: true, records, nextOffset });
    }
    update();
  };
  const empty = { isFullRead: true, records: [], nextOffset };
  peer.apply(empty);
  if (options.isUnread !== true) {
    copy.apply(empty);
    update();
  }
  return {
    view,
    events,
    malformed,
    update,
    readWhole,
    listStored: () =>
      [...stored.values()].filter(({ value }) => value !== undefined)
        .map(({ key }) => key.slice(PREFIX.length)),
    append: (record: Omit<KeyedRecord, "offset">) =>
      apply({ ...record, offset: nextOffset }),
    put: (
      zone: string,
      { value = "{}", isSilent = false }: {
        readonly value?: string;
        readonly isSilent?: boolean;
      } = {},
    ) =>
      apply({
        key: PREFIX + zone,
        value: Buffer.from(value),
        offset: nextOffset,
      }, isSilent),
    drop: (zone: string, { isSilent = false } = {}) =>
      apply({ key: PREFIX + zone, offset: nextOffset }, isSilent),
    tell: () => {
      const told = decodeRelayedChange(peer.listChangesSince(copy.nextOffset));
      copy.apply(told);
      update();
    },
    repeatOldest: () => {
      const [record] = history;
      if (record === undefined) return;
      const late = { isFullRead: false, records: [record] };
      copy.apply({ ...late, nextOffset: record.offset + 1 });
      update();
    },
  };
}
