import { expect } from "earl";
import fc from "fast-check";
import { it } from "node:test";
import { type AnswerHolder, HeldBytes } from "./held_bytes.ts";

const MAX_BYTES = 100;

class TestHolder implements AnswerHolder {
  readonly callId: string;
  heldBytes = 0;

  constructor(callId: string) {
    this.callId = callId;
  }

  cut(): void {
    this.heldBytes = 0;
  }
}

it("cuts off the answer that holds most, by what it holds then", () => {
  const cut: string[] = [];
  const held = new HeldBytes({
    maxBytes: MAX_BYTES,
    onCut: ({ callId }) => cut.push(callId),
  });
  const [drained, large, small] = ["a", "b", "c"].map((id) =>
    new TestHolder(id)
  ) as [TestHolder, TestHolder, TestHolder];
  const note = (holder: TestHolder, bytes: number) => {
    holder.heldBytes = bytes;
    held.note(holder);
  };
  note(drained, 60);
  drained.heldBytes = 0;
  note(large, 50);
  expect([cut, held.totalBytes]).toEqual([[], 50]);
  note(small, 40);
  note(drained, 20);
  expect([cut, held.totalBytes]).toEqual([["b"], 60]);
});

it("refuses bodies that don't fit and cuts off no answer for them", () => {
  const cut: string[] = [];
  const held = new HeldBytes({
    maxBytes: MAX_BYTES,
    onCut: ({ callId }) => cut.push(callId),
  });
  const answer = new TestHolder("a");
  answer.heldBytes = 70;
  held.note(answer);
  const body = held.openBody();
  expect([body.tryAdd(30), body.tryAdd(1), held.hasRoom(1)])
    .toEqual([true, false, false]);
  body.release();
  body.release();
  held.forget(answer);
  expect([cut, held.totalBytes]).toEqual([[], 0]);
});

it("never holds more than its bound, and nothing once all has ended", () => {
  const step = fc.record({
    index: fc.nat(7),
    bytes: fc.nat(80),
    isBody: fc.boolean(),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const held = new HeldBytes({ maxBytes: MAX_BYTES, onCut: () => {} });
    const answers = steps.map((_, id) => new TestHolder(String(id)));
    const bodies = steps.map(() => held.openBody());
    for (const { index, bytes, isBody } of steps) {
      const answer = answers[index % answers.length]!;
      if (isBody) bodies[index % bodies.length]!.tryAdd(bytes);
      else {
        answer.heldBytes = bytes;
        held.note(answer);
      }
      expect(held.totalBytes <= MAX_BYTES).toEqual(true);
    }
    for (const answer of answers) held.forget(answer);
    for (const body of bodies) body.release();
    expect(held.totalBytes).toEqual(0);
  }));
});
