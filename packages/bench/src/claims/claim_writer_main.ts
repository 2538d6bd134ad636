/** One writer of the claims measurement: claims calls at a rate, open loop. */
import {
  type ClaimedCall,
  createClaimPolicy,
  createEntryClaims,
  type ForwardingClaims,
  HttpLogService,
} from "celerytray";
import { Effect } from "effect";
import { setTimeout as sleep } from "node:timers/promises";
import type { WriterOrder, WriterReport } from "./claim_writer.ts";

const TICK_MS = 5;
const WAIT_MS = 5_000;
const SETTLE_MS = 6_000;
const ANSWER = Buffer.from('{"booked":true}').toString("base64");

const order = JSON.parse(process.argv[2]!) as WriterOrder;
const report: WriterReport = {
  latenciesMs: [],
  granted: [],
  replayedCount: 0,
  refusedAtMs: [],
  otherFailures: {},
};

await Effect.runPromise(Effect.scoped(Effect.gen(function* () {
  const claims = yield* createEntryClaims({
    log: new HttpLogService({ url: order.logUrl }),
    processId: `writer-${order.index}`,
    partitionCount: order.partitionCount,
    appendsPerSecond: order.appendsPerSecond,
    policy: createClaimPolicy({
      claimWindowMs: 3_600_000,
      claimLogRetentionMs: 7_200_000,
      claimDispatchMs: 5_000,
      claimTimeoutMs: 1_000,
      claimUndatedKeys: "refuse",
      maxClockErrorMs: 1_000,
    }).unsafeCoerce(),
  });
  yield* Effect.promise(() => offerCalls(claims));
})));
process.stdout.write(JSON.stringify(report), () => process.exit(0));

async function offerCalls(claims: ForwardingClaims): Promise<void> {
  await sleep(Math.max(0, order.startAtMs - Date.now()));
  let offered = 0;
  while (true) {
    const elapsedMs = Date.now() - order.startAtMs;
    if (elapsedMs > order.durationMs) break;
    const due = Math.floor(elapsedMs * order.callsPerSecond / 1_000);
    for (; offered < due; offered++) void claimOnce(claims, offered);
    await sleep(TICK_MS);
  }
  await sleep(SETTLE_MS);
}

/** Every so many calls, all writers use the same key. */
async function claimOnce(
  claims: ForwardingClaims,
  number: number,
): Promise<void> {
  const isShared = number % order.sharedEvery === 0;
  const writer = isShared ? "all" : order.index;
  const call: ClaimedCall = {
    organisation: "patan",
    service: "slotbook",
    key: `${order.startAtMs}-${writer}-${number}`,
    requestSha256: "0".repeat(64),
  };
  const startedAt = performance.now();
  const startedAtMs = Date.now();
  const decided = claims.claim(call, { waitMs: WAIT_MS }).pipe(
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
          { state: "ran", status: 201, bodyBase64: ANSWER },
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
  await Effect.runPromise(decided);
}
