/** A writer process of the claims measurement: claims calls at a fixed rate, open loop. */
import {
  type ClaimedCall,
  createClaimPolicy,
  createEntryClaims,
  type ForwardingClaims,
  HttpLogService,
} from "celerytray";
import { Effect } from "effect";
import { setTimeout as sleep } from "node:timers/promises";
import type { WriterOptions, WriterReport } from "./claim_writer.ts";

const POLL_INTERVAL_MS = 5;
const CLAIM_WAIT_MS = 5_000;
const COMPLETION_WAIT_MS = 6_000;
const RESPONSE_BODY_BASE64 = Buffer.from('{"booked":true}').toString("base64");

const options = JSON.parse(process.argv[2]!) as WriterOptions;
const report: WriterReport = {
  latenciesMs: [],
  granted: [],
  replayedCount: 0,
  refusedAtMs: [],
  otherFailures: {},
};

await Effect.runPromise(Effect.scoped(Effect.gen(function* () {
  const claims = yield* createEntryClaims({
    log: new HttpLogService({ url: options.logUrl }),
    processId: `writer-${options.index}`,
    partitionCount: options.partitionCount,
    appendsPerSecond: options.appendsPerSecond,
    policy: createClaimPolicy({
      claimWindowMs: 3_600_000,
      claimLogRetentionMs: 7_200_000,
      claimDispatchMs: 5_000,
      claimTimeoutMs: 1_000,
      claimUndatedKeys: "refuse",
      maxClockErrorMs: 1_000,
    }).unsafeCoerce(),
  });
  yield* Effect.promise(() => generateCalls(claims));
})));
process.stdout.write(JSON.stringify(report), () => process.exit(0));

async function generateCalls(claims: ForwardingClaims): Promise<void> {
  await sleep(Math.max(0, options.startAtMs - Date.now()));
  let callCount = 0;
  while (true) {
    const elapsedMs = Date.now() - options.startAtMs;
    if (elapsedMs > options.durationMs) break;
    const due = Math.floor(elapsedMs * options.callsPerSecond / 1_000);
    for (; callCount < due; callCount++) void claimCall(claims, callCount);
    await sleep(POLL_INTERVAL_MS);
  }
  await sleep(COMPLETION_WAIT_MS);
}

/** Claims one call and records its outcome; one in `sharedEvery` uses a shared key. */
async function claimCall(
  claims: ForwardingClaims,
  callIndex: number,
): Promise<void> {
  const isShared = callIndex % options.sharedEvery === 0;
  const writer = isShared ? "all" : options.index;
  const call: ClaimedCall = {
    organisation: "patan",
    service: "slotbook",
    key: `${options.startAtMs}-${writer}-${callIndex}`,
    requestSha256: "0".repeat(64),
  };
  const startedAt = performance.now();
  const startedAtMs = Date.now();
  const claimAndReport = claims.claim(call, { waitMs: CLAIM_WAIT_MS }).pipe(
    Effect.matchEffect({
      onSuccess: (decision) => {
        if (decision.kind === "done") {
          report.replayedCount += 1;
          return Effect.void;
        }
        report.latenciesMs.push(performance.now() - startedAt);
        report.granted.push(call.key);
        return claims.recordOutcome(
          { key: call, claimRecordId: decision.claimRecordId },
          { state: "ran", status: 201, bodyBase64: RESPONSE_BODY_BASE64 },
        );
      },
      onFailure: ({ _tag }) =>
        Effect.sync(() => {
          if (_tag === "ClaimUnavailable") report.refusedAtMs.push(startedAtMs);
          else {
            report.otherFailures[_tag] = (report.otherFailures[_tag] ?? 0) + 1;
          }
        }),
    }),
  );
  await Effect.runPromise(claimAndReport);
}
