import { Effect, Semaphore } from "effect";
import {
  createReplicaKey,
  decodeLeader,
  decodeReplica,
  encodeLeader,
  encodeReplica,
  LEADER_KEY,
  type LeaderRecord,
  parseReplicaKey,
  type RecordFailure,
  type ReplicaRecord,
  type ReplicaRecorder,
} from "../groups/index.ts";
import type {
  AppendConflict,
  KeyedLog,
  KeyedPage,
  KeyedRecord,
  ReadFailure,
} from "../keyed_log/index.ts";

/** What the log says of the lead and the replicas. */
export interface FleetRecords {
  readonly lead?: LeaderRecord;
  readonly replicas: readonly ReplicaRecord[];
  readonly nextOffset: number;
}

/** Reads the lead and the replicas. */
export function readFleetRecords(
  log: KeyedLog,
): Effect.Effect<FleetRecords, ReadFailure> {
  return Effect.map(log.readNewest("fleet"), ({ records, nextOffset }) => {
    const lead = findLead(records);
    const replicas = records.flatMap(({ key, value, offset }) => {
      const name = parseReplicaKey(key);
      if (name === undefined || value === undefined) return [];
      const record = decodeReplica(name, { value, offset }).toMaybe().extract();
      return record === undefined ? [] : [record];
    });
    return { replicas, nextOffset, ...(lead === undefined ? {} : { lead }) };
  });
}

function findLead(records: readonly KeyedRecord[]): LeaderRecord | undefined {
  const stored = records.findLast(({ key }) => key === LEADER_KEY);
  if (stored?.value === undefined) return undefined;
  return decodeLeader({ value: stored.value, offset: stored.offset })
    .toMaybe().extract();
}

/** What a look at the records says of a lead. */
export type LeadLook =
  /** Another process has taken its place. */
  | { readonly kind: "taken"; readonly lead: LeaderRecord }
  /** No other process had, by the records up to an offset. */
  | { readonly kind: "unchanged"; readonly nextOffset: number }
  /** The store doesn't answer. */
  | { readonly kind: "unknown" };

/** Pause after a failed look, at most. */
const LOOK_RETRY_MS = 300;

/** Waits, up to a time, until the records name a lead of a later term. */
export function awaitOtherLead(
  log: KeyedLog,
  { term, fromOffset, waitMs }: {
    readonly term: number;
    readonly fromOffset: number;
    readonly waitMs: number;
  },
): Effect.Effect<LeadLook> {
  const describe = ({ records, nextOffset }: KeyedPage): LeadLook => {
    const lead = findLead(records);
    return lead !== undefined && lead.term > term
      ? { kind: "taken", lead }
      : { kind: "unchanged", nextOffset };
  };
  return log.read("fleet", { fromOffset, waitMs }).pipe(
    Effect.catchTag("HistoryDropped", () => log.readNewest("fleet")),
    Effect.map(describe),
    Effect.catch(() =>
      Effect.as(
        Effect.sleep(Math.min(waitMs, LOOK_RETRY_MS)),
        { kind: "unknown" } as const,
      )
    ),
  );
}

/** What came of an attempt to take the lead. */
export type LeadClaim =
  | {
    readonly kind: "won";
    readonly term: number;
    readonly replicas: readonly ReplicaRecord[];
  }
  | { readonly kind: "lost" };

/** Takes the lead if nobody else wrote since the records were read. */
export function claimLead(
  log: KeyedLog,
  options: {
    readonly lead: Omit<LeaderRecord, "term">;
    readonly records: FleetRecords;
  },
): Effect.Effect<LeadClaim, ReadFailure> {
  const { lead, records } = options;
  const won = (offset: number): LeadClaim => ({
    kind: "won",
    term: offset + 1,
    replicas: records.replicas,
  });
  return log.append("fleet", {
    key: LEADER_KEY,
    value: encodeLeader(lead),
    at: records.nextOffset,
  }).pipe(
    Effect.map(won),
    Effect.catchTag(
      "AppendConflict",
      () => Effect.succeed<LeadClaim>({ kind: "lost" }),
    ),
    Effect.catchTag(
      "StoreAnswerLost",
      (failure) =>
        Effect.flatMap(
          readFleetRecords(log),
          ({ lead: newest }) =>
            newest?.bootId === lead.bootId &&
              newest.term === records.nextOffset + 1
              ? Effect.succeed(won(records.nextOffset))
              : Effect.fail(failure),
        ),
    ),
  );
}

/** Stores replicas as long as this process is the last that wrote. */
export class LeadRecorder implements ReplicaRecorder {
  readonly #log: KeyedLog;
  readonly #onDeposed: (message: string) => void;
  readonly #term: number;
  #endOffset: number;
  #formedCount = 0;
  #isDeposed = false;
  /** Appends run one after the other, as each names the end. */
  readonly #turns = Semaphore.makeUnsafe(1);

  constructor(options: {
    readonly log: KeyedLog;
    readonly term: number;
    readonly onDeposed: (message: string) => void;
  }) {
    this.#log = options.log;
    this.#term = options.term;
    this.#endOffset = options.term;
    this.#onDeposed = options.onDeposed;
  }

  form(
    formation: Omit<ReplicaRecord, "name" | "epoch">,
  ): Effect.Effect<ReplicaRecord, RecordFailure> {
    this.#formedCount += 1;
    const name = `r${this.#term}-${this.#formedCount}`;
    return this.#append(createReplicaKey(name), encodeReplica(formation)).pipe(
      Effect.map((offset) => ({ ...formation, name, epoch: offset + 1 })),
    );
  }

  retire(name: string): Effect.Effect<void, RecordFailure> {
    return Effect.asVoid(this.#append(createReplicaKey(name), undefined));
  }

  #append(
    key: string,
    value: Buffer | undefined,
  ): Effect.Effect<number, RecordFailure> {
    return this.#turns.withPermit(
      Effect.suspend(() => this.#appendNow(key, value)),
    );
  }

  #appendNow(
    key: string,
    value: Buffer | undefined,
  ): Effect.Effect<number, RecordFailure> {
    if (this.#isDeposed) {
      return Effect.fail({ message: "Another process decides by now" });
    }
    const at = this.#endOffset;
    return this.#log.append("fleet", {
      key,
      at,
      ...(value === undefined ? {} : { value }),
    }).pipe(
      Effect.catchTag(
        "AppendConflict",
        (conflict) => this.#settle({ key, value, at, failure: conflict }),
      ),
      Effect.catchTag(
        "StoreAnswerLost",
        (failure) => this.#settle({ key, value, at, failure }),
      ),
      Effect.tap((offset) =>
        Effect.sync(() => {
          this.#endOffset = offset + 1;
        })
      ),
    );
  }

  /** Finds out whether an append without a clear answer was carried out. */
  #settle(
    { key, value, at, failure }: UnclearAppend,
  ): Effect.Effect<number, RecordFailure> {
    return this.#log.read("fleet", { fromOffset: at, waitMs: 0 }).pipe(
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
        this.#isDeposed = true;
        this.#onDeposed(`Another process wrote at ${at}`);
        return Effect.fail(failure);
      }),
      Effect.mapError(({ message }) => ({ message })),
    );
  }
}

interface UnclearAppend {
  readonly key: string;
  readonly value: Buffer | undefined;
  readonly at: number;
  readonly failure: AppendConflict | ReadFailure;
}
