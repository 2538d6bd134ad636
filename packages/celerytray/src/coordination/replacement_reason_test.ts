import { expect } from "earl";
import { it } from "node:test";
import {
  LEADER_HOLD_MS,
  leaderTimeoutMs,
  MAX_RELAY_STATUS_AGE_MS,
  maxRelayedAgeMs,
  maxStatusAgeMs,
  nominalStatusAgeMs,
  RELAY_HOLD_MS,
  REPLY_TIMEOUT_MS,
  reporterTimeoutMs,
} from "./intervals.ts";
import {
  findReplacementReason,
  type LeaderObservation,
} from "./replacement_reason.ts";

/** Limits that the smallest deployments require. */
const MAX_LEADER_TIMEOUT_MS = 1_000;
const MAX_KEY_AGE_MS = 3_000;

const HEALTHY: LeaderObservation = {
  deniesLeadership: false,
  isDown: false,
  statusPath: "direct",
  statusAgeMs: 0,
  leaderStoreAgeMs: 100,
  ownStoreAgeMs: 100,
};

it("keeps a leader that responds and has contact with the store", () => {
  expect(findReplacementReason(HEALTHY)).toEqual(undefined);
});

it("replaces a leader that has stepped down or is down", () => {
  expect(findReplacementReason({ ...HEALTHY, deniesLeadership: true }))
    .toEqual("it doesn't lead");
  expect(findReplacementReason({ ...HEALTHY, isDown: true }))
    .toEqual("it is down");
});

it("waits longer for a silent leader where the status is relayed", () => {
  const silent = { ...HEALTHY, statusAgeMs: leaderTimeoutMs("direct") + 1 };
  expect(findReplacementReason(silent)).toEqual("it is silent");
  const relayed: LeaderObservation = { ...silent, statusPath: "relayed" };
  expect(findReplacementReason(relayed)).toEqual(undefined);
  const statusAgeMs = leaderTimeoutMs("relayed") + 1;
  expect(findReplacementReason({ ...relayed, statusAgeMs }))
    .toEqual("it is silent");
});

it("replaces a leader without the store only if this process has contact with it", () => {
  const observation = { ...HEALTHY, leaderStoreAgeMs: 5_100 };
  expect(findReplacementReason(observation)).toEqual(
    "the store doesn't answer it",
  );
  expect(findReplacementReason({ ...observation, ownStoreAgeMs: 5_000 }))
    .toEqual(undefined);
});

it("keeps the intervals consistent, whatever the number of processes", () => {
  expect(leaderTimeoutMs("direct") < MAX_LEADER_TIMEOUT_MS).toEqual(true);
  for (const statusPath of ["direct", "relayed"] as const) {
    expect(nominalStatusAgeMs(statusPath) < maxStatusAgeMs(statusPath)).toEqual(
      true,
    );
    expect(maxStatusAgeMs(statusPath) <= leaderTimeoutMs(statusPath)).toEqual(
      true,
    );
    expect(maxRelayedAgeMs(statusPath) < MAX_KEY_AGE_MS).toEqual(true);
    expect(maxRelayedAgeMs(statusPath) > maxStatusAgeMs(statusPath)).toEqual(
      true,
    );
  }
  expect(maxRelayedAgeMs("direct") < maxRelayedAgeMs("relayed")).toEqual(true);
  expect(leaderTimeoutMs("direct") < leaderTimeoutMs("relayed")).toEqual(true);
  expect(MAX_RELAY_STATUS_AGE_MS > nominalStatusAgeMs("direct")).toEqual(true);
  for (const holdMs of [0, LEADER_HOLD_MS, RELAY_HOLD_MS]) {
    // Allows for one report without a reply.
    expect(reporterTimeoutMs(holdMs) > holdMs + REPLY_TIMEOUT_MS).toEqual(
      true,
    );
    expect(reporterTimeoutMs(holdMs) > leaderTimeoutMs("direct")).toEqual(true);
  }
});
