import { expect } from "earl";
import fc from "fast-check";
import { it } from "node:test";
import { EventSplitter } from "./event_splitter.ts";

const SEED = 11;

it("returns complete events however the bytes are split", () => {
  const property = fc.property(
    fc.array(fc.string({ maxLength: 12 }), { maxLength: 12 }),
    fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
    fc.constantFrom("\n", "\r\n"),
    (texts, cuts, lineEnd) => {
      const data = texts.map((text) => text.replaceAll(/[\r\n]/g, " "));
      const events = data.map((text, index) =>
        `id: ${index}${lineEnd}data: ${text}${lineEnd}${lineEnd}`
      );
      const bytes = Buffer.from(events.join(""));
      const splitter = new EventSplitter();
      const found: string[] = [];
      const ids: (number | undefined)[] = [];
      for (let start = 0, step = 0; start < bytes.length; step++) {
        const end = start + cuts[step % cuts.length]!;
        for (const event of splitter.push(bytes.subarray(start, end))) {
          found.push(event.bytes.toString());
          ids.push(event.id);
        }
        start = end;
      }
      expect(found).toEqual(events);
      expect(ids).toEqual(events.map((_event, index) => index));
      expect(splitter.pendingBytes).toEqual(0);
    },
  );
  fc.assert(property, { seed: SEED });
});

// Guards against a process that a back end keeps busy with an event in very small
// chunks, as each of them copied and searched all before it.
it("searches each byte of an event once", { timeout: 20_000 }, () => {
  const splitter = new EventSplitter();
  const chunk = Buffer.from("x");
  splitter.push(Buffer.from("data: "));
  for (let bytes = 0; bytes < 500_000; bytes++) splitter.push(chunk);
  const [event] = splitter.push(Buffer.from("\n\n"));
  expect(event?.bytes.length).toEqual(500_008);
});

it("keeps an incomplete event", () => {
  const splitter = new EventSplitter();
  expect(splitter.push(Buffer.from("id: 1\ndata: a\n"))).toEqual([]);
  expect(splitter.pendingBytes).toEqual(14);
});
