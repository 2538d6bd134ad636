import type { ClaimRecord, LogRecord } from "@celerytray/schema";
import { Effect, Schedule, type Scope } from "effect";
import { randomUUID } from "node:crypto";
import {
  claimCall,
  type ClaimState,
  emptyClaimState,
  foldClaimRecord,
  selectClaimPartition,
} from "../claims/index.ts";
import type { ForwardingClaims } from "../forwarding/index.ts";
import {
  createLogWriter,
  createStreamView,
  type LogService,
  type LogWriter,
  type StreamView,
} from "../log/index.ts";

interface ClaimPartition {
  readonly writer: LogWriter;
  readonly view: StreamView<ClaimState>;
}

/** Options of an entry instance's claims. */
export interface EntryClaimsOptions {
  readonly log: LogService;
  readonly processId: string;
  readonly partitionCount: number;
}

const OUTCOME_RETRY_DELAY_MS = 500;
const OUTCOME_RETRIES = 20;

/** Claims over partitioned log streams. */
export function createEntryClaims(
  options: EntryClaimsOptions,
): Effect.Effect<ForwardingClaims, never, Scope.Scope> {
  return Effect.gen(function* () {
    const partitions: ClaimPartition[] = [];
    for (let index = 0; index < options.partitionCount; index++) {
      partitions.push(yield* createPartition(options.log, index));
    }
    const scope = yield* Effect.scope;
    const select = (
      key: Pick<ClaimRecord, "organisation" | "service" | "key">,
    ) => partitions[selectClaimPartition(key, partitions.length)]!;
    return {
      claim: (call) =>
        claimCall({
          ...select(call),
          record: {
            ...call,
            kind: "claim",
            recordId: randomUUID(),
            claimant: options.processId,
          },
        }),
      recordOutcome: ({ key, claimRecordId }, outcome) => {
        const record: LogRecord = {
          kind: "outcome",
          recordId: randomUUID(),
          claimRecordId,
          outcome,
        };
        return appendOutcome(select(key).writer, record).pipe(
          Effect.forkIn(scope),
          Effect.asVoid,
        );
      },
    };
  });
}

function createPartition(
  log: LogService,
  index: number,
): Effect.Effect<ClaimPartition, never, Scope.Scope> {
  const stream = `claims-${index}`;
  return Effect.gen(function* () {
    const writer = yield* createLogWriter({ log, stream });
    const view = yield* createStreamView({
      log,
      stream,
      initial: emptyClaimState(),
      fold: foldClaimRecord,
    });
    return { writer, view };
  });
}

/** An outcome that stands twice does no harm: the first holds. */
function appendOutcome(
  writer: LogWriter,
  record: LogRecord,
): Effect.Effect<void> {
  const schedule = Schedule.spaced(OUTCOME_RETRY_DELAY_MS);
  return writer.append(record).pipe(
    Effect.retry({ schedule, times: OUTCOME_RETRIES }),
    Effect.ignore,
  );
}
