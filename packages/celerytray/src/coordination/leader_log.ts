import { Effect, Semaphore } from "effect";
import {
  createReplicaKey,
  decodeReplica,
  encodeReplica,
  LEADER_KEY,
  parseReplicaKey,
  type RecordFailure,
  type ReplicaRecord,
  type ReplicaRecorder,
} from "../groups/index.ts";
import type { QuarantinedPart } from "../serving/index.ts";
import {
  type AppendConflict,
  eraOf,
  type KeyedLog,
  type KeyedPage,
  type KeyedRecord,
  type LogPosition,
  type ReadFailure,
} from "../keyed_log/index.ts";
import {
  decodeLeadingProcess,
  encodeLeadingProcess,
  type LeadingProcess,
} from "./leading_process.ts";
import { decodeQuarantine } from "./quarantine_record.ts";

/** The leader and the replicas, as recorded in the fleet topic. */
export interface FleetRecords {
  readonly leader?: LeadingProcess;
  readonly replicas: readonly ReplicaRecord[];
  /** Parts of prompts in quarantine. */
  readonly quarantined: readonly QuarantinedPart[];
  readonly nextOffset: LogPosition;
}

/** Reads the newest records of the leader and the replicas. */
export function readFleetRecords(
  log: KeyedLog,
): Effect.Effect<FleetRecords, ReadFailure> {
  return Effect.map(log.readNewest("fleet"), ({ records, nextOffset }) => {
    const leader = findLeader(records);
    const replicas = records.flatMap(({ key, value, offset }) => {
      const name = parseReplicaKey(key);
      if (name === undefined || value === undefined) return [];
      const record = decodeReplica(name, { value, offset }).toMaybe().extract();
      return record === undefined ? [] : [record];
    });
    return {
      replicas,
      quarantined: records.flatMap((record) => decodeQuarantine(record) ?? []),
      nextOffset,
      ...(leader === undefined ? {} : { leader }),
    };
  });
}

function findLeader(
  records: readonly KeyedRecord[],
): LeadingProcess | undefined {
  const stored = records.findLast(({ key }) => key === LEADER_KEY);
  return stored === undefined ? undefined : decodeLeadingProcess(stored);
}

/** Result of a check of the records for a successor of a leader. */
export type LeaderCheck =
  /** A process has claimed a later term. */
  | { readonly kind: "taken"; readonly leader: LeadingProcess }
  /** No process had claimed a later term, up to `nextOffset`. */
  | { readonly kind: "unchanged"; readonly nextOffset: LogPosition }
  /**
   * The store came back from an older copy since the term began, so that the
   * records of the term may be lost; no process had claimed a later term.
   */
  | { readonly kind: "superseded-era"; readonly nextOffset: LogPosition }
  /** The store did not respond. */
  | { readonly kind: "unknown" };

/** Longest pause after a failed check. */
const CHECK_RETRY_DELAY_MS = 300;

/** Waits until the records name a leader of a later term, at most `waitMs`. */
export function awaitSuccessor(
  log: KeyedLog,
  { term, fromOffset, waitMs }: {
    readonly term: LogPosition;
    readonly fromOffset: LogPosition;
    readonly waitMs: number;
  },
): Effect.Effect<LeaderCheck> {
  const describe = ({ records, nextOffset }: KeyedPage): LeaderCheck => {
    const leader = findLeader(records);
    if (leader !== undefined && leader.term > term) {
      return { kind: "taken", leader };
    }
    return eraOf(nextOffset) > eraOf(term)
      ? { kind: "superseded-era", nextOffset }
      : { kind: "unchanged", nextOffset };
  };
  return log.read("fleet", { fromOffset, waitMs }).pipe(
    Effect.catchTag("HistoryDropped", () => log.readNewest("fleet")),
    Effect.map(describe),
    Effect.catch(() =>
      Effect.as(
        Effect.sleep(Math.min(waitMs, CHECK_RETRY_DELAY_MS)),
        { kind: "unknown" } as const,
      )
    ),
  );
}

/** Result of an attempt to claim leadership. */
export type LeadershipClaim =
  | {
    readonly kind: "won";
    readonly term: LogPosition;
  }
  | { readonly kind: "lost" };

/**
 * Claims leadership, provided that no process wrote since the records were
 * read.
 */
export function claimLeadership(
  log: KeyedLog,
  options: {
    readonly leader: Omit<LeadingProcess, "term">;
    readonly records: FleetRecords;
  },
): Effect.Effect<LeadershipClaim, ReadFailure> {
  const { leader, records } = options;
  const at = records.nextOffset;
  const term = at + 1;
  const won: LeadershipClaim = { kind: "won", term };
  return log.append("fleet", {
    key: LEADER_KEY,
    value: encodeLeadingProcess({ ...leader, term }),
    at,
  }).pipe(
    Effect.as(won),
    Effect.catchTag(
      "AppendConflict",
      () => Effect.succeed<LeadershipClaim>({ kind: "lost" }),
    ),
    Effect.catchTag(
      "StoreAnswerLost",
      (failure) =>
        Effect.flatMap(
          readFleetRecords(log),
          ({ leader: newest, nextOffset }) =>
            newest?.bootId === leader.bootId && newest.term === term &&
              eraOf(nextOffset) === eraOf(at)
              ? Effect.succeed(won)
              : Effect.fail(failure),
        ),
    ),
  );
}

/**
 * Stores replica records while no other process has written to the topic. Each
 * append names the expected end of the topic, so that a superseded leader can
 * store nothing.
 */
export class FencedReplicaRecorder implements ReplicaRecorder {
  readonly #log: KeyedLog;
  readonly #onSuperseded: (message: string) => void;
  readonly #term: LogPosition;
  #endOffset: LogPosition;
  #formedCount = 0;
  #isSuperseded = false;
  /** Serialises appends, as each names the end of the topic. */
  readonly #appendLock = Semaphore.makeUnsafe(1);

  constructor(options: {
    readonly log: KeyedLog;
    readonly term: LogPosition;
    readonly onSuperseded: (message: string) => void;
  }) {
    this.#log = options.log;
    this.#term = options.term;
    this.#endOffset = options.term;
    this.#onSuperseded = options.onSuperseded;
  }

  form(
    formation: Omit<ReplicaRecord, "name" | "epoch">,
  ): Effect.Effect<ReplicaRecord, RecordFailure> {
    this.#formedCount += 1;
    const name = `r${this.#term}-${this.#formedCount}`;
    return this.#append(
      createReplicaKey(name),
      (at) => encodeReplica({ ...formation, epoch: at + 1 }),
    ).pipe(
      Effect.map((offset) => ({ ...formation, name, epoch: offset + 1 })),
    );
  }

  /** Stores the record of a replica that was formed earlier once more. */
  restore(replica: ReplicaRecord): Effect.Effect<void, RecordFailure> {
    return this.put(createReplicaKey(replica.name), encodeReplica(replica));
  }

  retire(name: string): Effect.Effect<void, RecordFailure> {
    return this.put(createReplicaKey(name), undefined);
  }

  /** Stores another record of the leader, or deletes one without a value. */
  put(
    key: string,
    value: Buffer | undefined,
  ): Effect.Effect<void, RecordFailure> {
    return Effect.asVoid(this.#append(key, () => value));
  }

  confirm(): Effect.Effect<void, RecordFailure> {
    return this.#appendLock.withPermit(
      Effect.suspend(() => this.#confirmNow()),
    );
  }

  #confirmNow(): Effect.Effect<void, RecordFailure> {
    const at = this.#endOffset;
    return this.#log.read("fleet", { fromOffset: at, waitMs: 0 }).pipe(
      Effect.catchTag("HistoryDropped", () => this.#failSuperseded(at)),
      Effect.mapError(({ message }) => ({ message })),
      Effect.flatMap(({ nextOffset }) =>
        nextOffset === at ? Effect.void : this.#failSuperseded(at)
      ),
    );
  }

  /**
   * Notes that the topic no longer ends where this leader left it, in whichever
   * era.
   */
  #failSuperseded(at: LogPosition): Effect.Effect<never, RecordFailure> {
    const message =
      `The fleet topic has other records from position ${at} on than this leader stored`;
    this.#isSuperseded = true;
    this.#onSuperseded(message);
    return Effect.fail({ message });
  }

  /** Appends the value that `encode` returns for the position of the record. */
  #append(
    key: string,
    encode: (at: LogPosition) => Buffer | undefined,
  ): Effect.Effect<LogPosition, RecordFailure> {
    return this.#appendLock.withPermit(
      Effect.suspend(() => this.#appendNow(key, encode(this.#endOffset))),
    );
  }

  #appendNow(
    key: string,
    value: Buffer | undefined,
  ): Effect.Effect<LogPosition, RecordFailure> {
    if (this.#isSuperseded) {
      return Effect.fail({
        message: "Another process leads now; the record was not stored",
      });
    }
    const at = this.#endOffset;
    return this.#log.append("fleet", {
      key,
      at,
      ...(value === undefined ? {} : { value }),
    }).pipe(
      Effect.catchTag(
        "AppendConflict",
        (conflict) =>
          this.#resolveUnconfirmed({ key, value, at, failure: conflict }),
      ),
      Effect.catchTag(
        "StoreAnswerLost",
        (failure) => this.#resolveUnconfirmed({ key, value, at, failure }),
      ),
      Effect.tap((offset) =>
        Effect.sync(() => {
          this.#endOffset = offset + 1;
        })
      ),
    );
  }

  /** Reads back whether an append without a definite result was stored. */
  #resolveUnconfirmed(
    { key, value, at, failure }: UnconfirmedAppend,
  ): Effect.Effect<LogPosition, RecordFailure> {
    return this.#log.read("fleet", { fromOffset: at, waitMs: 0 }).pipe(
      Effect.catchTag("HistoryDropped", () => this.#failSuperseded(at)),
      Effect.flatMap(({ records, nextOffset }) => {
        const [first] = records;
        const isOwn = first?.key === key &&
          (first.value === undefined) === (value === undefined) &&
          (value === undefined || first.value?.equals(value) === true);
        const others = records.slice(1).length;
        if (isOwn && others === 0) return Effect.succeed(first!.offset);
        if (first === undefined && nextOffset === at) {
          return Effect.fail(failure);
        }
        return Effect.catch(
          this.#failSuperseded(at),
          () => Effect.fail(failure),
        );
      }),
      Effect.mapError(({ message }) => ({ message })),
    );
  }
}

interface UnconfirmedAppend {
  readonly key: string;
  readonly value: Buffer | undefined;
  readonly at: LogPosition;
  readonly failure: AppendConflict | ReadFailure;
}
