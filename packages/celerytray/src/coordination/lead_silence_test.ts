import { expect } from "earl";
import { it } from "node:test";
import {
  ANSWER_TIMEOUT_MS,
  LEAD_HOLD_MS,
  maxStatusAgeMs,
  maxToldAgeMs,
  presentMs,
  RELAY_HOLD_MS,
  silenceMs,
  STALE_RELAY_MS,
  usualStatusAgeMs,
} from "./intervals.ts";
import { findReplacementReason, type LeadSigns } from "./lead_silence.ts";

/** Bounds of the users' smallest deployments. */
const MAX_SILENCE_MS = 1_000;
const MAX_KEY_AGE_MS = 3_000;

const SOUND: LeadSigns = {
  deniesLead: false,
  isDown: false,
  steps: "direct",
  silentMs: 0,
  leadStoreAgeMs: 100,
  ownStoreAgeMs: 100,
};

it("keeps a lead that answers and hears the store", () => {
  expect(findReplacementReason(SOUND)).toEqual(undefined);
});

it("replaces a lead that has stepped down or is gone", () => {
  expect(findReplacementReason({ ...SOUND, deniesLead: true }))
    .toEqual("it doesn't lead");
  expect(findReplacementReason({ ...SOUND, isDown: true }))
    .toEqual("it is down");
});

it("waits for a silent lead longer where relays hear it first", () => {
  const silent = { ...SOUND, silentMs: silenceMs("direct") + 1 };
  expect(findReplacementReason(silent)).toEqual("it is silent");
  const relayed: LeadSigns = { ...silent, steps: "relayed" };
  expect(findReplacementReason(relayed)).toEqual(undefined);
  const silentMs = silenceMs("relayed") + 1;
  expect(findReplacementReason({ ...relayed, silentMs }))
    .toEqual("it is silent");
});

it("replaces a lead that lost the store only where it is reached itself", () => {
  const signs = { ...SOUND, leadStoreAgeMs: 5_100 };
  expect(findReplacementReason(signs)).toEqual("the store doesn't answer it");
  expect(findReplacementReason({ ...signs, ownStoreAgeMs: 5_000 }))
    .toEqual(undefined);
});

it("lets no bound contradict another, however many processes there are", () => {
  expect(silenceMs("direct") < MAX_SILENCE_MS).toEqual(true);
  for (const steps of ["direct", "relayed"] as const) {
    expect(usualStatusAgeMs(steps) < maxStatusAgeMs(steps)).toEqual(true);
    expect(maxStatusAgeMs(steps) <= silenceMs(steps)).toEqual(true);
    expect(maxToldAgeMs(steps) < MAX_KEY_AGE_MS).toEqual(true);
    expect(maxToldAgeMs(steps) > maxStatusAgeMs(steps)).toEqual(true);
  }
  expect(maxToldAgeMs("direct") < maxToldAgeMs("relayed")).toEqual(true);
  expect(silenceMs("direct") < silenceMs("relayed")).toEqual(true);
  expect(STALE_RELAY_MS > usualStatusAgeMs("direct")).toEqual(true);
  for (const holdMs of [0, LEAD_HOLD_MS, RELAY_HOLD_MS]) {
    // One report may get no answer.
    expect(presentMs(holdMs) > holdMs + ANSWER_TIMEOUT_MS).toEqual(true);
    expect(presentMs(holdMs) > silenceMs("direct")).toEqual(true);
  }
});
