import { expect } from "earl";
import { it } from "node:test";
import {
  createPosition,
  type EraStart,
  TopicCopy,
} from "../keyed_log/index.ts";
import { applyRelayedTopic, describeTopicSince } from "./relayed_topic.ts";

const NEXT_OFFSET = createPosition({ era: 1, offset: 4 });
const COPY_END = createPosition({ era: 1, offset: 3 });
const AGE_MS = 1_000;
const PUBLISHED_AT_MS = 5_000;
const ARRIVED_AT_MS = 5_400;

// Guards against a process that believes the list before instances could write
// their entries anew, as a reply that was long under way told it of the return.
it("tells another process how long ago at most the store came back", () => {
  const { proofAtMs, eraStart } = relay({
    copyEnd: COPY_END,
    returnedAtMs: 0,
  });
  expect(proofAtMs).toEqual(PUBLISHED_AT_MS - AGE_MS);
  expect(eraStart).toEqual({
    copyEnd: COPY_END,
    returnedAtMs: ARRIVED_AT_MS - AGE_MS,
  });
});

it("tells nothing of a store that never came back", () => {
  expect(relay(undefined).eraStart).toEqual(undefined);
});

it("passes over the start of another era, or one that can't be read", () => {
  const returnedAtMs = 0;
  const odd: readonly EraStart[] = [
    { copyEnd: 3, returnedAtMs },
    { copyEnd: NEXT_OFFSET + 1, returnedAtMs },
    { copyEnd: COPY_END + 0.5, returnedAtMs },
    { copyEnd: COPY_END, returnedAtMs: Number.NaN },
  ];
  for (const eraStart of odd) {
    expect(relay(eraStart).eraStart).toEqual(undefined);
  }
});

/** Passes a topic on that was confirmed AGE_MS after a start of its era. */
function relay(told: EraStart | undefined) {
  const copy = new TopicCopy();
  copy.apply({ isFullRead: true, records: [], nextOffset: NEXT_OFFSET });
  const topic = { copy, provenAtMs: () => 0, onRelayed: () => {} };
  const change = describeTopicSince(
    { ...topic, eraStart: () => told },
    NEXT_OFFSET,
    AGE_MS,
  );
  let result: { proofAtMs?: number; eraStart?: EraStart | undefined } = {};
  applyRelayedTopic(
    {
      ...topic,
      onRelayed: (_change, proofAtMs, eraStart) =>
        result = { proofAtMs, eraStart },
    },
    JSON.parse(JSON.stringify(change)),
    { publishedAtMs: PUBLISHED_AT_MS, nowMs: ARRIVED_AT_MS },
  );
  return result;
}
