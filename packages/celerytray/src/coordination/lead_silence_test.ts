import { expect } from "earl";
import { it } from "node:test";
import {
  findReplacementReason,
  type LeadSigns,
  silenceBoundMs,
} from "./lead_silence.ts";
import type { LeadAnswer } from "./peer_router.ts";

const ANSWER: LeadAnswer = {
  isLeading: true,
  term: 3,
  storeAgeMs: 100,
  nodes: [],
  repeats: {},
  config: { nextOffset: 0, proofAgeMs: 0 },
  closedHeads: [],
  leaving: [],
  instances: { records: [], nextOffset: 0 },
};
const SOUND: LeadSigns = {
  answer: ANSWER,
  isDown: false,
  silentMs: 0,
  ownStoreAgeMs: 100,
  reportIntervalMs: 250,
};

it("keeps a lead that answers and hears the store", () => {
  expect(findReplacementReason(SOUND)).toEqual(undefined);
});

it("replaces a lead that has stepped down or is gone", () => {
  const steppedDown = { ...ANSWER, isLeading: false };
  expect(findReplacementReason({ ...SOUND, answer: steppedDown }))
    .toEqual("it doesn't lead");
  expect(findReplacementReason({ ...SOUND, answer: undefined, isDown: true }))
    .toEqual("it is down");
});

it("waits for a silent lead longer where reports are rarer", () => {
  const silent = { ...SOUND, answer: undefined, silentMs: 801 };
  expect(findReplacementReason(silent)).toEqual("it is silent");
  const rare = { ...silent, reportIntervalMs: 830 };
  expect(findReplacementReason(rare)).toEqual(undefined);
  expect(silenceBoundMs(rare)).toEqual(1_380);
});

it("replaces a lead that lost the store only where it is reached itself", () => {
  const answer = { ...ANSWER, storeAgeMs: 5_100 };
  expect(findReplacementReason({ ...SOUND, answer }))
    .toEqual("the store doesn't answer it");
  expect(findReplacementReason({ ...SOUND, answer, ownStoreAgeMs: 5_000 }))
    .toEqual(undefined);
});
