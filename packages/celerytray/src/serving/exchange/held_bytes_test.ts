import { expect } from "earl";
import fc from "fast-check";
import { it } from "node:test";
import { HeldBytes, type HeldResponse } from "./held_bytes.ts";

const MAX_BYTES = 100;

class TestResponse implements HeldResponse {
  readonly callId: string;
  heldBytes = 0;

  constructor(callId: string) {
    this.callId = callId;
  }

  cut(): void {
    this.heldBytes = 0;
  }
}

it("aborts the response that currently buffers the most", () => {
  const cut: string[] = [];
  const held = new HeldBytes({
    maxBytes: MAX_BYTES,
    nowMs: () => 0,
    onCut: ({ callId }) => cut.push(callId),
  });
  const [drained, large, small] = ["a", "b", "c"].map((id) =>
    new TestResponse(id)
  ) as [TestResponse, TestResponse, TestResponse];
  const note = (response: TestResponse, bytes: number) => {
    response.heldBytes = bytes;
    held.update(response);
  };
  note(drained, 60);
  drained.heldBytes = 0;
  note(large, 50);
  expect([cut, held.totalBytes]).toEqual([[], 50]);
  note(small, 40);
  note(drained, 20);
  expect([cut, held.totalBytes]).toEqual([["b"], 60]);
});

it("refuses bodies above the bound and aborts no response for them", () => {
  const cut: string[] = [];
  const held = new HeldBytes({
    maxBytes: MAX_BYTES,
    nowMs: () => 0,
    onCut: ({ callId }) => cut.push(callId),
  });
  const response = new TestResponse("a");
  response.heldBytes = 70;
  held.update(response);
  const body = held.holdBody();
  expect([body.tryAdd(30), body.tryAdd(1), held.makeRoom(1)])
    .toEqual([true, false, false]);
  body.release();
  body.release();
  held.forget(response);
  expect([cut, held.totalBytes]).toEqual([[], 0]);
});

// Guards against bodies that never end and keep others from being served.
it("gives up the bodies that were read for longest, after a second", () => {
  const { held, givenUp, hold, setTime } = createReading();
  hold("a", 40);
  setTime(600);
  hold("b", 40);
  setTime(1_000);
  const needy = held.holdBody();
  expect([needy.tryAdd(70), givenUp]).toEqual([false, ["a"]]);
  setTime(1_600);
  expect([needy.tryAdd(70), givenUp]).toEqual([true, ["a", "b"]]);
  expect(held.totalBytes).toEqual(70);
});

it("gives up no body that is complete, or that needs the room itself", () => {
  const { givenUp, hold, setTime } = createReading();
  hold("complete", 40).endReading();
  const growing = hold("growing", 40);
  setTime(5_000);
  expect([growing.tryAdd(30), givenUp]).toEqual([false, []]);
});

// Guards against streams that are cut for the sake of bodies that never end.
it("gives up bodies that are not complete rather than abort a response", () => {
  const { held, givenUp, cut, hold } = createReading();
  hold("a", 90);
  const response = new TestResponse("b");
  response.heldBytes = 20;
  held.update(response);
  expect([givenUp, cut, held.totalBytes]).toEqual([["a"], [], 20]);
});

function createReading() {
  const givenUp: string[] = [];
  const cut: string[] = [];
  let nowMs = 0;
  const held = new HeldBytes({
    maxBytes: MAX_BYTES,
    nowMs: () => nowMs,
    onCut: ({ callId }) => cut.push(callId),
  });
  const hold = (id: string, bytes: number) => {
    const body = held.holdBody();
    body.beginReading(() => givenUp.push(id));
    body.tryAdd(bytes);
    return body;
  };
  const setTime = (atMs: number) => nowMs = atMs;
  return { held, givenUp, cut, hold, setTime };
}

it("never counts more than the bound, and nothing once all have ended", () => {
  const step = fc.record({
    index: fc.nat(7),
    bytes: fc.nat(80),
    isBody: fc.boolean(),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const held = new HeldBytes({
      maxBytes: MAX_BYTES,
      nowMs: () => 0,
      onCut: () => {},
    });
    const responses = steps.map((_, id) => new TestResponse(String(id)));
    const bodies = steps.map(() => held.holdBody());
    for (const { index, bytes, isBody } of steps) {
      const response = responses[index % responses.length]!;
      if (isBody) bodies[index % bodies.length]!.tryAdd(bytes);
      else {
        response.heldBytes = bytes;
        held.update(response);
      }
      expect(held.totalBytes <= MAX_BYTES).toEqual(true);
    }
    for (const response of responses) held.forget(response);
    for (const body of bodies) body.release();
    expect(held.totalBytes).toEqual(0);
  }));
});
