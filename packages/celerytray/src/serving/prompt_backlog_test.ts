import { expect } from "earl";
import { describe, it } from "node:test";
import { chooseTarget, type ServingTarget } from "./choose_target.ts";
import { LoadTracker } from "./load_tracker.ts";
import { PromptBacklog, promptReadMs } from "./prompt_backlog.ts";
import type { EngineSpec } from "./serving_config.ts";

const ENGINE: EngineSpec = {
  models: [
    {
      name: "m",
      size: 6,
      instanceShare: 1,
      pace: 0.5,
      loadMs: 1,
      warmMs: 1,
    },
  ],
  slots: 18,
  stepMs: 6,
  stepPerRequestMs: 0.1,
  promptTokensPerSecond: 50_000,
  usualPromptTokens: 0,
  usualAnswerTokens: 0,
  loadsPerSecond: 1,
  loadsAtOnce: 1,
};
const TARGET_MS = 400;
const HEADS = ["a", "b", "c"].map((instanceId): ServingTarget => ({
  instanceId,
  address: instanceId,
  zone: "z",
  slots: 18,
  epoch: 1,
}));

/** Longest and shortest prompts of one kind of request differ by this factor. */
const PROMPTS = [5_000, 50, 50, 4_000, 60, 3_000, 40, 50, 60];

// Load: prompts of very different lengths that arrive at once. A head that reads
// a long prompt produces no events for its other streams meanwhile.
describe("chooseTarget with prompts of different lengths", () => {
  it("spreads prompts that arrive together by their tokens", () => {
    const backlog = new PromptBacklog();
    const loads = new LoadTracker();
    for (const tokens of PROMPTS) {
      const { instanceId } = choose(backlog, loads);
      loads.noteSent(instanceId);
      backlog.add(instanceId, tokens);
    }
    const busiest = Math.max(
      ...HEADS.map((head) => backlog.tokensAt(head.instanceId)),
    );
    expect(busiest <= Math.max(...PROMPTS) + 500).toEqual(true);
  });

  it("takes a head with an absurd prompt for full, not for useless", () => {
    const backlog = new PromptBacklog();
    const loads = new LoadTracker();
    backlog.add("a", 999_999_999);
    for (const { instanceId, slots } of HEADS.slice(1)) {
      for (let sent = 0; sent < slots * 2; sent += 1) {
        loads.noteSent(instanceId);
      }
    }
    expect(choose(backlog, loads).instanceId).toEqual("a");
  });

  it("counts a prompt until it is read, and only once", () => {
    const backlog = new PromptBacklog();
    const end = backlog.add("a", 700);
    backlog.add("a", 300);
    expect(backlog.tokensAt("a")).toEqual(1_000);
    end();
    end();
    expect(backlog.tokensAt("a")).toEqual(300);
  });
});

describe("promptReadMs", () => {
  it("follows the model's pace, and is 0 where the rate is not known", () => {
    expect(promptReadMs(5_000, ENGINE, "m")).toEqual(50);
    expect(promptReadMs(5_000, ENGINE, "other")).toEqual(100);
    expect(promptReadMs(5_000, { ...ENGINE, promptTokensPerSecond: 0 }, "m"))
      .toEqual(0);
    expect(promptReadMs(5_000, undefined, "m")).toEqual(0);
  });
});

function choose(backlog: PromptBacklog, loads: LoadTracker): ServingTarget {
  return chooseTarget({
    targets: HEADS,
    loads,
    zone: "z",
    isBackingOff: () => false,
    maySend: () => true,
    isSilent: () => false,
    isSlow: () => false,
    hasSuspect: () => false,
    hasConnection: () => true,
    readDelayMs: ({ instanceId }) =>
      promptReadMs(backlog.tokensAt(instanceId), ENGINE, "m"),
    targetMs: TARGET_MS,
    isTried: () => false,
    nowMs: 0,
    random: () => 0.5,
  })!;
}
