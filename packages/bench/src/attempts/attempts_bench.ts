import type { EngineFaults, PlainFaults } from "@celerytray/fakes";
import type { Bench, BenchResult } from "../bench.ts";
import {
  callPlainService,
  listExpectedTokens,
  requestCompletion,
} from "./local_calls.ts";
import {
  type LocalDataPlane,
  startLocalDataPlane,
} from "./local_data_plane.ts";

const BACKEND_COUNT = 9;
const FAILING_BACKEND_COUNT = 3;
const REQUEST_COUNT = 3_000;
const CONCURRENCY = 16;
const TOKEN_COUNT = 20;
const FAULT_TOKEN_INDEX = 10;
const IDLE_TIMEOUT_MS = 200;
const PLAIN_TIMEOUT_MS = 2_000;
const SLOW_RESPONSE_MS = 300;
const MIN_SUCCESS_SHARE = 0.999;
const MAX_EXTRA_LOAD = 0.1;

/** A failure of three of the nine back ends and the kind of call it affects. */
interface FailureCase {
  readonly name: string;
  readonly kind: "stream" | "read";
  readonly refusesConnections?: boolean;
  readonly engineFaults?: EngineFaults;
  readonly plainFaults?: PlainFaults;
}

const CASES: readonly FailureCase[] = [
  { name: "refuses", kind: "stream", refusesConnections: true },
  {
    name: "cuts",
    kind: "stream",
    engineFaults: { stream: { kind: "cut", atToken: FAULT_TOKEN_INDEX } },
  },
  {
    name: "silent",
    kind: "stream",
    engineFaults: { stream: { kind: "silence", atToken: FAULT_TOKEN_INDEX } },
  },
  {
    name: "wrong events",
    kind: "stream",
    engineFaults: {
      stream: { kind: "crossed-id", atToken: FAULT_TOKEN_INDEX },
    },
  },
  { name: "refuses", kind: "read", refusesConnections: true },
  { name: "cuts", kind: "read", plainFaults: { cutsAnswers: true } },
  { name: "silent", kind: "read", plainFaults: { isSilent: true } },
  { name: "slow", kind: "read", plainFaults: { delayMs: SLOW_RESPONSE_MS } },
  {
    name: "wrong answers",
    kind: "read",
    plainFaults: { crossesAnswers: true },
  },
];

/** Measures success and extra load while a third of the back ends fails. */
export const attemptsBench: Bench = {
  name: "attempts",
  description: "success and extra load while a third of the back ends fails",
  run: runAttemptsBench,
};

async function runAttemptsBench(): Promise<BenchResult> {
  const rows: BenchResult["rows"][number][] = [];
  const targets: BenchResult["targets"][number][] = [];
  for (const failure of CASES) {
    const result = await measureCase(failure);
    const name = `${failure.kind}, ${failure.name}`;
    rows.push({ case: name, ...result });
    targets.push({
      target: `${name}: success at least ${MIN_SUCCESS_SHARE}`,
      measured: result.successShare.toFixed(4),
      isReached: result.successShare >= MIN_SUCCESS_SHARE,
    }, {
      target: `${name}: extra load at most ${MAX_EXTRA_LOAD}`,
      measured: result.extraLoad.toFixed(4),
      isReached: result.extraLoad <= MAX_EXTRA_LOAD,
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
    plainBackendCount: failure.kind === "read" ? BACKEND_COUNT : 0,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    plainTimeoutMs: PLAIN_TIMEOUT_MS,
    onToken: () => generatedTokens += 1,
  });
  try {
    await injectFaults(plane, failure);
    const successCount = await sendRequests(plane, failure);
    const executedRequests = failure.kind === "stream"
      ? generatedTokens / TOKEN_COUNT
      : (await plane.listRuns()).length;
    return {
      successShare: successCount / REQUEST_COUNT,
      extraLoad: Math.max(0, executedRequests / REQUEST_COUNT - 1),
      attemptsPerRequest: plane.attemptCount() / REQUEST_COUNT,
    };
  } finally {
    await plane.close();
  }
}

async function injectFaults(
  plane: LocalDataPlane,
  failure: FailureCase,
): Promise<void> {
  const servers = failure.kind === "stream"
    ? plane.engines
    : plane.plainBackends;
  for (let index = 0; index < FAILING_BACKEND_COUNT; index++) {
    if (failure.refusesConnections === true) await servers[index]!.close();
    else if (failure.engineFaults !== undefined) {
      await plane.setEngineFaults(index, failure.engineFaults);
    } else await plane.setPlainFaults(index, failure.plainFaults ?? {});
  }
}

async function sendRequests(
  plane: LocalDataPlane,
  { kind }: FailureCase,
): Promise<number> {
  let nextIndex = 0;
  let successCount = 0;
  const runWorker = async () => {
    while (nextIndex < REQUEST_COUNT) {
      const caller = `c${nextIndex++}`;
      const isSuccess = kind === "stream"
        ? await streamSucceeds(plane, caller)
        : await readSucceeds(plane, caller);
      if (isSuccess) successCount += 1;
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, runWorker));
  return successCount;
}

async function streamSucceeds(
  plane: LocalDataPlane,
  caller: string,
): Promise<boolean> {
  const result = await requestCompletion(plane, {
    prompt: caller,
    tokenCount: TOKEN_COUNT,
  });
  const expected = listExpectedTokens(caller, TOKEN_COUNT).join();
  return result.isComplete && result.tokens.join() === expected;
}

async function readSucceeds(
  plane: LocalDataPlane,
  caller: string,
): Promise<boolean> {
  const response = await callPlainService(plane, { path: `/units/${caller}` });
  const body = await response.json() as { readonly path?: string };
  return response.ok && body.path === `/units/${caller}`;
}
