import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ByteCollector } from "./byte_collector.ts";

const SMALLEST_BLOCK_BYTES = 1024;
const chunks = fc.array(fc.uint8Array({ maxLength: 3_000 }), {
  maxLength: 60,
});

describe("ByteCollector", () => {
  it("returns the bytes of all chunks in order", () => {
    fc.assert(fc.property(chunks, (parts) => {
      const collector = new ByteCollector();
      for (const part of parts) collector.add(Buffer.from(part));
      const bytes = collector.bytes;
      const taken = collector.take();
      expect(taken.equals(Buffer.concat(parts))).toEqual(true);
      expect([bytes, collector.bytes]).toEqual([taken.length, 0]);
    }));
  });

  // Guards against an account that counts other bytes than are held.
  it("tells what a chunk will take, at most twice the bytes and a block", () => {
    fc.assert(fc.property(chunks, (parts) => {
      const collector = new ByteCollector();
      let takenBytes = 0;
      for (const part of parts) {
        const chunk = Buffer.from(part);
        takenBytes += collector.growthBytes(chunk);
        collector.add(chunk);
        expect(collector.capacityBytes).toEqual(takenBytes);
        const maxBytes = 2 * collector.bytes + SMALLEST_BLOCK_BYTES;
        expect(takenBytes <= maxBytes).toEqual(true);
      }
    }));
  });

  // Guards against an object for each chunk that a peer chooses to send.
  it("keeps few objects for many chunks", () => {
    const collector = new ByteCollector();
    const chunk = Buffer.from("x");
    for (let count = 0; count < 100_000; count++) collector.add(chunk);
    expect(collector.capacityBytes <= 200_000 + SMALLEST_BLOCK_BYTES)
      .toEqual(true);
    expect(collector.take().equals(Buffer.alloc(100_000, "x"))).toEqual(true);
  });
});
