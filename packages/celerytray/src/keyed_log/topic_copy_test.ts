import { expect } from "earl";
import { it } from "node:test";
import { readRelayed, TopicCopy } from "./topic_copy.ts";

const record = (key: string, offset: number, text?: string) =>
  text === undefined
    ? { key, offset }
    : { key, offset, value: Buffer.from(text) };

it("tells the newest record of each key from an offset on", () => {
  const copy = new TopicCopy();
  copy.apply({
    isWhole: true,
    records: [record("a", 0, "1"), record("b", 1, "1")],
    nextOffset: 2,
  });
  copy.apply({
    isWhole: false,
    records: [record("a", 2, "2"), record("b", 3)],
    nextOffset: 4,
  });
  expect(copy.since(4)).toEqual({ records: [], nextOffset: 4 });
  expect(copy.since(2)).toEqual({
    records: [{ key: "a", text: "2", offset: 2 }, { key: "b", offset: 3 }],
    nextOffset: 4,
  });
  expect(readRelayed(copy.since(3))).toEqual([record("b", 3)]);
});

it("tells keys as dropped that a whole reading lacks", () => {
  const copy = new TopicCopy();
  copy.apply({ isWhole: true, records: [record("a", 5, "1")], nextOffset: 6 });
  copy.apply({ isWhole: true, records: [record("b", 8, "1")], nextOffset: 9 });
  const { records } = copy.since(6);
  expect(records.map(({ key, text }) => [key, text])).toEqual([
    ["a", undefined],
    ["b", "1"],
  ]);
});

it("keeps a newer record against an older one that comes late", () => {
  const copy = new TopicCopy();
  copy.apply({ isWhole: true, records: [record("a", 5, "2")], nextOffset: 6 });
  copy.apply({ isWhole: false, records: [record("a", 3, "1")], nextOffset: 4 });
  expect(copy.since(0)).toEqual({
    records: [{ key: "a", text: "2", offset: 5 }],
    nextOffset: 6,
  });
});
