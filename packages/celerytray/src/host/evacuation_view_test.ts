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
  it("follows evacuations that begin and end repeatedly", () => {
    const fixture = createFixture();
    for (let round = 0; round < 3; round++) {
      fixture.put("a");
      expect(fixture.view.isEvacuated("a")).toEqual(true);
      fixture.drop("a");
      expect(fixture.view.isEvacuated("a")).toEqual(false);
    }
    expect(fixture.events.length).toEqual(6);
  });

  it("keeps one zone evacuated when another zone's evacuation ends", () => {
    const fixture = createFixture();
    fixture.put("a");
    fixture.put("b");
    fixture.drop("a");
    expect(fixture.view.list(0).map(({ zone }) => zone)).toEqual(["b"]);
    expect(fixture.events).toEqual(["+a", "+b", "-a"]);
  });

  // Guards against treating instances as warm although other processes saw the
  // evacuation.
  it("reports the end of an evacuation that began and ended between two updates", () => {
    const fixture = createFixture();
    fixture.put("a", { isUnseen: true });
    fixture.drop("a");
    expect(fixture.events).toEqual(["-a"]);
  });

  it("ends an evacuation whose key is missing in a full read and keeps the others", () => {
    const fixture = createFixture();
    fixture.put("a");
    fixture.put("b");
    fixture.readFully(["b"]);
    expect(fixture.events).toEqual(["+a", "+b", "-a"]);
    expect(fixture.view.isEvacuated("b")).toEqual(true);
  });

  it("applies evacuations from the first read on and reports no earlier ends", () => {
    const fixture = createFixture({ isUnread: true });
    fixture.readFully(["a"]);
    expect(fixture.events).toEqual(["+a"]);
  });

  it("evacuates despite an invalid value and reports it once", () => {
    for (const value of ["", "[]", "nonsense", "\u0000"]) {
      const fixture = createFixture();
      fixture.put("a", { value });
      fixture.update();
      expect(fixture.view.isEvacuated("a")).toEqual(true);
      expect(fixture.malformed).toEqual(["evacuate/a"]);
    }
  });

  it("ignores a key without a zone and other keys", () => {
    const fixture = createFixture();
    fixture.put("");
    fixture.append({ key: "config", value: Buffer.from("{}") });
    expect(fixture.malformed).toEqual(["evacuate/"]);
    expect([fixture.events, fixture.view.list(0)]).toEqual([[], []]);
  });

  // Guards against records from a peer that arrive after a newer read.
  it("matches the topic, whatever way its changes arrive", () => {
    const change = fc.record({
      zone: fc.constantFrom("a", "b", "c"),
      isPut: fc.boolean(),
      how: fc.constantFrom("read", "told", "late", "lost" as const),
    });
    fc.assert(
      fc.property(fc.array(change, { maxLength: 30 }), (changes) => {
        const fixture = createFixture();
        for (const { zone, isPut, how } of changes) {
          if (how === "late") fixture.resendOldest();
          else if (how === "lost") fixture.readFully(fixture.listStored());
          else if (how === "told") fixture.relayChanges();
          const options = { isUnseen: how === "told" };
          if (isPut) fixture.put(zone, options);
          else fixture.drop(zone, options);
        }
        fixture.relayChanges();
        expect(fixture.view.list(0).map(({ zone }) => zone).sort())
          .toEqual([...fixture.listStored()].sort());
      }),
      { seed: SEED },
    );
  });
});

/**
 * Creates a topic, a peer that reads it and a process that reads it or gets
 * relayed changes.
 */
function createFixture(options: { readonly isUnread?: boolean } = {}) {
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
  const update = () =>
    view.update(copy.list(PREFIX), { nowMs: 0, readTo: copy.nextOffset });
  const apply = (record: KeyedRecord, isUnseen = false) => {
    stored.set(record.key, record);
    history.push(record);
    nextOffset = record.offset + 1;
    peer.apply({ isFullRead: false, records: [record], nextOffset });
    if (isUnseen) return;
    // A read continues where the last read or relayed change ended.
    const records = history.filter(({ offset }) => offset >= copy.nextOffset);
    copy.apply({ isFullRead: false, records, nextOffset });
    update();
  };
  const readFully = (zones: readonly string[]) => {
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
    readFully,
    listStored: () =>
      [...stored.values()].filter(({ value }) => value !== undefined)
        .map(({ key }) => key.slice(PREFIX.length)),
    append: (record: Omit<KeyedRecord, "offset">) =>
      apply({ ...record, offset: nextOffset }),
    put: (
      zone: string,
      { value = "{}", isUnseen = false }: {
        readonly value?: string;
        readonly isUnseen?: boolean;
      } = {},
    ) =>
      apply({
        key: PREFIX + zone,
        value: Buffer.from(value),
        offset: nextOffset,
      }, isUnseen),
    drop: (zone: string, { isUnseen = false } = {}) =>
      apply({ key: PREFIX + zone, offset: nextOffset }, isUnseen),
    relayChanges: () => {
      const changes = decodeRelayedChange(
        peer.listChangesSince(copy.nextOffset),
      );
      copy.apply(changes);
      update();
    },
    resendOldest: () => {
      const [record] = history;
      if (record === undefined) return;
      const lateChange = { isFullRead: false, records: [record] };
      copy.apply({ ...lateChange, nextOffset: record.offset + 1 });
      update();
    },
  };
}
