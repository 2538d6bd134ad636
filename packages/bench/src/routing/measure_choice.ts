import { AffinityRouter } from "celerytray";
import { performance } from "node:perf_hooks";

const CHOICES = 50_000;
const WARM_UP_CHOICES = 10_000;
const PREFIX_COUNT = 5_000;
const PROMPT_BLOCKS = 14;
const SHARED_BLOCKS = 12;
const US_PER_MS = 1_000;

/** Measures the mean time of one choice among a number of replicas. */
export function measureChoice(
  options: { readonly replicaCount: number },
): Readonly<Record<string, string | number>> {
  const { replicaCount } = options;
  const router = new AffinityRouter({ seed: 1 });
  const candidates = Array.from({ length: replicaCount }, (_, index) => ({
    replicaId: `drafter/${index}`,
    availabilityZone: "a",
    reportedRequests: index % 7,
    sentSinceReport: 0,
  }));
  const choose = (index: number) =>
    router.choose(candidates, {
      availabilityZone: "a",
      prefixHashes: createPrompt(index),
      nowMs: index,
    });
  for (let index = 0; index < WARM_UP_CHOICES; index++) choose(index);
  const startedAtMs = performance.now();
  for (let index = 0; index < CHOICES; index++) choose(index);
  const elapsedMs = performance.now() - startedAtMs;
  return {
    scenario: "one choice",
    replicas: replicaCount,
    meanUs: Number((elapsedMs / CHOICES * US_PER_MS).toFixed(1)),
  };
}

function createPrompt(index: number): number[] {
  const prefixStart = (index % PREFIX_COUNT) * PROMPT_BLOCKS;
  return Array.from(
    { length: PROMPT_BLOCKS },
    (_, block) =>
      block < SHARED_BLOCKS ? prefixStart + block : -index * 2 - block,
  );
}
