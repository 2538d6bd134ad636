import type { EngineFaults, PlainFaults } from "@celerytray/fakes";
import type { Bench, BenchResult } from "../bench.ts";
import { askCompletion, callPlain, expectTokens } from "./local_calls.ts";
import {
  type LocalDataPlane,
  startLocalDataPlane,
} from "./local_data_plane.ts";

const BACKEND_COUNT = 9;
const FAILING_COUNT = 3;
const REQUEST_COUNT = 3_000;
const CONCURRENCY = 16;
const TOKEN_COUNT = 20;
const FAULT_TOKEN = 10;
const IDLE_TIMEOUT_MS = 200;
const PLAIN_TIMEOUT_MS = 2_000;
const SLOW_MS = 300;
const TARGET_SHARE = 0.999;
const MAX_EXTRA_LOAD = 0.1;

/** One way in which a third of the back ends fails. */
interface FailureCase {
  readonly name: string;
  readonly kind: "stream" | "read";
  readonly refuses?: boolean;
  readonly engine?: EngineFaults;
  readonly plain?: PlainFaults;
}

const CASES: readonly FailureCase[] = [
  { name: "refuses", kind: "stream", refuses: true },
  {
    name: "cuts",
    kind: "stream",
    engine: { stream: { kind: "cut", atToken: FAULT_TOKEN } },
  },
  {
    name: "silent",
    kind: "stream",
    engine: { stream: { kind: "silence", atToken: FAULT_TOKEN } },
  },
  {
    name: "wrong events",
    kind: "stream",
    engine: { stream: { kind: "crossed-id", atToken: FAULT_TOKEN } },
  },
  { name: "refuses", kind: "read", refuses: true },
  { name: "cuts", kind: "read", plain: { cutsAnswers: true } },
  { name: "silent", kind: "read", plain: { isSilent: true } },
  { name: "slow", kind: "read", plain: { delayMs: SLOW_MS } },
  { name: "wrong answers", kind: "read", plain: { crossesAnswers: true } },
];

/** Measures what callers get while a third of the back ends fails. */
export const attemptsBench: Bench = {
  name: "attempts",
  description: "success and extra load while a third of the back ends fails",
  run: runAttemptsBench,
};

async function runAttemptsBench(): Promise<BenchResult> {
  const rows: BenchResult["rows"][number][] = [];
  const targets: BenchResult["targets"][number][] = [];
  for (const failure of CASES) {
    const seen = await measureCase(failure);
    const name = `${failure.kind}, ${failure.name}`;
    rows.push({ case: name, ...seen });
    targets.push({
      target: `${name}: success at least ${TARGET_SHARE}`,
      measured: seen.successShare.toFixed(4),
      isReached: seen.successShare >= TARGET_SHARE,
    }, {
      target: `${name}: extra load at most ${MAX_EXTRA_LOAD}`,
      measured: seen.extraLoad.toFixed(4),
      isReached: seen.extraLoad <= MAX_EXTRA_LOAD,
    });
  }
  return { rows, targets };
}

interface CaseResult {
  readonly successShare: number;
  readonly extraLoad: number;
  readonly attemptsPerRequest: number;
}

async function measureCase(failure: FailureCase): Promise<CaseResult> {
  let generatedTokens = 0;
  const plane = await startLocalDataPlane({
    engineCount: failure.kind === "stream" ? BACKEND_COUNT : 0,
    plainCount: failure.kind === "read" ? BACKEND_COUNT : 0,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    plainTimeoutMs: PLAIN_TIMEOUT_MS,
    onToken: () => generatedTokens += 1,
  });
  try {
    await breakThird(plane, failure);
    const successCount = await callMany(plane, failure);
    const work = failure.kind === "stream"
      ? generatedTokens / TOKEN_COUNT
      : (await plane.listRuns()).length;
    return {
      successShare: successCount / REQUEST_COUNT,
      extraLoad: Math.max(0, work / REQUEST_COUNT - 1),
      attemptsPerRequest: plane.attemptCount() / REQUEST_COUNT,
    };
  } finally {
    await plane.close();
  }
}

async function breakThird(
  plane: LocalDataPlane,
  failure: FailureCase,
): Promise<void> {
  const servers = failure.kind === "stream" ? plane.engines : plane.plains;
  for (let index = 0; index < FAILING_COUNT; index++) {
    if (failure.refuses === true) await servers[index]!.close();
    else if (failure.engine !== undefined) {
      await plane.setEngineFaults(index, failure.engine);
    } else await plane.setPlainFaults(index, failure.plain ?? {});
  }
}

async function callMany(
  plane: LocalDataPlane,
  { kind }: FailureCase,
): Promise<number> {
  let next = 0;
  let successCount = 0;
  const work = async () => {
    while (next < REQUEST_COUNT) {
      const caller = `c${next++}`;
      const isWhole = kind === "stream"
        ? await streamWhole(plane, caller)
        : await readWhole(plane, caller);
      if (isWhole) successCount += 1;
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, work));
  return successCount;
}

async function streamWhole(
  plane: LocalDataPlane,
  caller: string,
): Promise<boolean> {
  const seen = await askCompletion(plane, {
    prompt: caller,
    tokenCount: TOKEN_COUNT,
  });
  const expected = expectTokens(caller, TOKEN_COUNT).join();
  return seen.isWhole && seen.tokens.join() === expected;
}

async function readWhole(
  plane: LocalDataPlane,
  caller: string,
): Promise<boolean> {
  const response = await callPlain(plane, { path: `/units/${caller}` });
  const body = await response.json() as { readonly path?: string };
  return response.ok && body.path === `/units/${caller}`;
}
