import type { PlainFaults, StreamFaultKind } from "@celerytray/fakes";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  callPlainService,
  listExpectedTokens,
  requestCompletion,
} from "./local_calls.ts";
import {
  type LocalDataPlane,
  startLocalDataPlane,
} from "./local_data_plane.ts";

const SEED = 20_261_204;
const RUN_COUNT = 30;
const CALLER_COUNT = 24;
const BACKEND_COUNT = 4;
const TOKEN_COUNT = 5;

const streamFaults = fc.option(fc.record({
  kind: fc.constantFrom<StreamFaultKind>(
    "cut",
    "crossed-id",
    "crossed-chunk",
    "duplicate",
    "out-of-order",
    "early-end",
    "close",
    "error",
  ),
  atToken: fc.nat(TOKEN_COUNT - 1),
}));
const plainFaults = fc.constantFrom<PlainFaults>(
  {},
  { losesAnswers: true },
  { cutsAnswers: true },
  { crossesAnswers: true },
  { omitsLength: true },
  { delayMs: 20 },
);
const isClosed = fc.boolean();
const faults = fc.array(fc.record({ streamFaults, plainFaults, isClosed }), {
  minLength: BACKEND_COUNT - 1,
  maxLength: BACKEND_COUNT - 1,
});
const callers = fc.array(
  fc.constantFrom("stream" as const, "read" as const, "booking" as const),
  { minLength: CALLER_COUNT, maxLength: CALLER_COUNT },
);

describe("history of concurrent callers", () => {
  it("gives each caller its own complete response or an error", async () => {
    await fc.assert(
      fc.asyncProperty(faults, callers, async (faults, callers) => {
        const plane = await startLocalDataPlane({
          engineCount: BACKEND_COUNT,
          plainBackendCount: BACKEND_COUNT,
        });
        try {
          await setFaults(plane, faults);
          const outcomes = await Promise.all(
            callers.map((kind, index) => CALL_CHECKS[kind](plane, `c${index}`)),
          );
          await checkRuns(plane, outcomes);
        } finally {
          await plane.close();
        }
      }),
      { seed: SEED, numRuns: RUN_COUNT },
    );
  });
});

type BackendFaults = typeof faults extends fc.Arbitrary<infer Value> ? Value
  : never;

async function setFaults(
  plane: LocalDataPlane,
  faults: BackendFaults,
): Promise<void> {
  for (const [index, backendFaults] of faults.entries()) {
    if (backendFaults.isClosed) {
      await plane.engines[index]!.close();
      continue;
    }
    await plane.setPlainFaults(index, backendFaults.plainFaults);
    if (backendFaults.streamFaults !== null) {
      await plane.setEngineFaults(index, {
        stream: backendFaults.streamFaults,
      });
    }
  }
}

interface CallOutcome {
  readonly caller: string;
  readonly kind: "stream" | "read" | "booking";
  readonly outcome: string | null;
}

const CALL_CHECKS = {
  stream: checkStream,
  read: checkRead,
  booking: checkBooking,
};

async function checkStream(
  plane: LocalDataPlane,
  caller: string,
): Promise<CallOutcome> {
  const result = await requestCompletion(plane, {
    prompt: caller,
    tokenCount: TOKEN_COUNT,
  });
  const expectedTokens = listExpectedTokens(caller, TOKEN_COUNT);
  if (result.isComplete) expect(result.tokens).toEqual(expectedTokens);
  else {
    expect(result.tokens).toEqual(
      expectedTokens.slice(0, result.tokens.length),
    );
    expect(result.text).toInclude('"error"');
  }
  return { caller, kind: "stream", outcome: result.outcome };
}

async function checkRead(
  plane: LocalDataPlane,
  caller: string,
): Promise<CallOutcome> {
  const response = await callPlainService(plane, { path: `/units/${caller}` });
  const body = await response.json() as { readonly path?: string };
  if (response.ok) expect(body.path).toEqual(`/units/${caller}`);
  else expect(Object.keys(body)).toEqual(["error"]);
  const outcome = response.headers.get("celerytray-outcome");
  return { caller, kind: "read", outcome };
}

async function checkBooking(
  plane: LocalDataPlane,
  caller: string,
): Promise<CallOutcome> {
  const response = await callPlainService(plane, {
    path: "/bookings",
    method: "POST",
    body: JSON.stringify({ caller }),
  });
  const body = await response.json() as {
    readonly received?: { readonly caller: string };
  };
  if (response.ok) expect(body.received).toEqual({ caller });
  else expect(Object.keys(body)).toEqual(["error"]);
  const outcome = response.headers.get("celerytray-outcome");
  return { caller, kind: "booking", outcome };
}

/** Checks the outcomes reported to callers against the calls that back ends ran. */
async function checkRuns(
  plane: LocalDataPlane,
  outcomes: readonly CallOutcome[],
): Promise<void> {
  const runs = await plane.listRuns();
  for (const { caller, kind, outcome } of outcomes) {
    if (kind === "stream") continue;
    const count = runs.filter((run) =>
      kind === "read"
        ? run.path === `/units/${caller}`
        : (run.body as { readonly caller?: string } | undefined)?.caller ===
          caller
    ).length;
    if (kind === "booking") {
      expect(count).toEqual(Math.min(count, 1));
    }
    if (outcome === "not-run") {
      expect(count).toEqual(0);
    }
    if (outcome === "ran") {
      expect(count).toEqual(Math.max(count, 1));
    }
  }
}
