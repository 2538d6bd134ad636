import { expect } from "earl";
import { it } from "node:test";
import { decodeRelayedChange, TopicCopy } from "./topic_copy.ts";

const MANY_READS = 50;

const record = (key: string, offset: number, text?: string) =>
  text === undefined
    ? { key, offset }
    : { key, offset, value: Buffer.from(text) };

it("lists the newest record of each key from an offset on", () => {
  const copy = new TopicCopy();
  copy.apply({
    isFullRead: true,
    records: [record("a", 0, "1"), record("b", 1, "1")],
    nextOffset: 2,
  });
  copy.apply({
    isFullRead: false,
    records: [record("a", 2, "2"), record("b", 3)],
    nextOffset: 4,
  });
  expect(copy.listChangesSince(4)).toEqual({ records: [], nextOffset: 4 });
  expect(copy.listChangesSince(2)).toEqual({
    records: [{ key: "a", text: "2", offset: 2 }, { key: "b", offset: 3 }],
    nextOffset: 4,
  });
  expect(decodeRelayedChange(copy.listChangesSince(3)).records).toEqual([
    record("b", 3),
  ]);
});

it("lists keys as deleted that a full read does not contain", () => {
  const copy = new TopicCopy();
  copy.apply({
    isFullRead: true,
    records: [record("a", 5, "1")],
    nextOffset: 6,
  });
  copy.apply({
    isFullRead: true,
    records: [record("b", 8, "1")],
    nextOffset: 9,
  });
  const { records } = copy.listChangesSince(6);
  expect(records.map(({ key, text }) => [key, text])).toEqual([
    ["a", undefined],
    ["b", "1"],
  ]);
});

// Guards against a process that keeps a deleted key, as the process that relays
// the topic never knew the key: it read all anew after both of its records.
it("is incomplete for offsets that a full read jumped over", () => {
  const copy = new TopicCopy();
  copy.apply({ isFullRead: true, records: [], nextOffset: 6 });
  // Offset 7 was the key's record and offset 9 its deletion.
  copy.apply({ isFullRead: true, records: [], nextOffset: 12 });
  const offsets = [5, 6, 8, 11, 12];
  expect(offsets.map((offset) => copy.isCompleteSince(offset)))
    .toEqual([false, true, false, false, true]);
  for (let read = 1; read <= MANY_READS; read++) {
    copy.apply({ isFullRead: true, records: [], nextOffset: 12 + 3 * read });
  }
  expect(copy.isCompleteSince(6)).toEqual(false);
  expect(copy.isCompleteSince(12 + 3 * MANY_READS)).toEqual(true);
});

it("keeps a newer record when an older one arrives late", () => {
  const copy = new TopicCopy();
  copy.apply({
    isFullRead: true,
    records: [record("a", 5, "1")],
    nextOffset: 6,
  });
  copy.apply({
    isFullRead: false,
    records: [record("a", 6, "2")],
    nextOffset: 7,
  });
  copy.apply({
    isFullRead: false,
    records: [record("a", 3, "0")],
    nextOffset: 4,
  });
  expect(copy.listChangesSince(6)).toEqual({
    records: [{ key: "a", text: "2", offset: 6 }],
    nextOffset: 7,
  });
});

it("is incomplete for offsets before its first read", () => {
  const restarted = new TopicCopy();
  expect(restarted.isCompleteSince(0)).toEqual(false);
  // The key "a" was deleted at offset 8, before this process read the topic.
  restarted.apply({
    isFullRead: true,
    records: [record("b", 7, "1")],
    nextOffset: 9,
  });
  expect(restarted.isCompleteSince(6)).toEqual(false);
  expect(restarted.listChangesSince(6).records).toEqual([]);
  expect(restarted.isCompleteSince(9)).toEqual(true);
});

it("compresses long values", () => {
  const text = JSON.stringify(
    Array.from({ length: 500 }, (_, index) => ({ route: `r-${index}` })),
  );
  const copy = new TopicCopy();
  copy.apply({
    isFullRead: true,
    records: [record("a", 5, "1")],
    nextOffset: 6,
  });
  copy.apply({
    isFullRead: false,
    records: [record("a", 6, text)],
    nextOffset: 7,
  });
  const change = copy.listChangesSince(6);
  expect(JSON.stringify(change).length < text.length / 4).toEqual(true);
  expect(decodeRelayedChange(change).records).toEqual([record("a", 6, text)]);
});

// Guards against losing a record that a peer relayed while a read was under way.
it("keeps a key that is newer than a full read", () => {
  const copy = new TopicCopy();
  copy.apply({
    isFullRead: true,
    records: [record("a", 5, "1")],
    nextOffset: 6,
  });
  copy.apply({
    isFullRead: false,
    records: [record("b", 8, "1")],
    nextOffset: 9,
  });
  copy.apply({
    isFullRead: true,
    records: [record("a", 5, "1")],
    nextOffset: 7,
  });
  expect(copy.list("b")).toEqual([record("b", 8, "1")]);
});
