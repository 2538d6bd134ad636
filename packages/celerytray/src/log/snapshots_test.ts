import type { LogRecord } from "@celerytray/schema";
import { expect } from "earl";
import { Effect, type Scope } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { type LogEntry, type LogService, LogTruncated } from "./log_service.ts";
import { createLogWriter } from "./log_writer.ts";
import {
  runSnapshotWriter,
  SNAPSHOT_STREAM,
  type SnapshotCodec,
} from "./snapshots.ts";
import { createStreamView } from "./stream_view.ts";

const codec: SnapshotCodec<number> = {
  encode: (count) => ({ count }),
  decode: (content) => (content as { readonly count?: number }).count,
};

describe("snapshots", () => {
  it("restore a view from the latest one and the records after it", async () => {
    const log = new MemoryLog();
    log.add("fleet", 10);
    log.addSnapshot({ nextOffset: 4, count: 4 });
    log.addSnapshot({ nextOffset: 8, count: 8 });
    log.truncate("fleet", 7);
    const [count, reason] = await run(Effect.gen(function* () {
      const view = yield* createView(log);
      yield* TestClock.adjust(100);
      return [view.current(), view.failedReason()];
    }));
    expect([count, reason]).toEqual([10, undefined]);
  });

  it("are reported when missing, and restore the view once available", async () => {
    const log = new MemoryLog();
    log.add("fleet", 10);
    log.truncate("fleet", 7);
    const seen = await run(Effect.gen(function* () {
      const view = yield* createView(log);
      yield* TestClock.adjust(2_000);
      const before = [view.readAtMs(), view.failedReason()?.slice(0, 38)];
      log.addSnapshot({ nextOffset: 9, count: 9 });
      yield* TestClock.adjust(2_000);
      return [...before, view.current(), view.failedReason()];
    }));
    expect(seen).toEqual([
      undefined,
      "Stream fleet is kept from offset 7 on,",
      10,
      undefined,
    ]);
  });

  it("are written once enough records follow the last one", async () => {
    const log = new MemoryLog();
    log.add("fleet", 4);
    const counts = await run(Effect.gen(function* () {
      const view = yield* createView(log);
      const writer = yield* createLogWriter({ log, stream: SNAPSHOT_STREAM });
      yield* runSnapshotWriter({
        stream: "fleet",
        view,
        codec,
        writer,
        isPreferred: () => true,
        maxRecordsBetween: 5,
      });
      yield* TestClock.adjust(20_000);
      const first = log.count(SNAPSHOT_STREAM);
      log.add("fleet", 1);
      yield* TestClock.adjust(20_000);
      return [first, log.count(SNAPSHOT_STREAM)];
    }));
    expect(counts).toEqual([0, 1]);
  });
});

function createView(log: LogService) {
  return createStreamView({
    log,
    stream: "fleet",
    initial: 0,
    fold: (count) => count + 1,
    snapshot: codec,
  });
}

function run<Value>(
  effect: Effect.Effect<Value, never, Scope.Scope>,
): Promise<Value> {
  return Effect.runPromise(
    Effect.scoped(effect).pipe(Effect.provide(TestClock.layer())),
  );
}

class MemoryLog implements LogService {
  readonly #streams = new Map<string, LogEntry[]>();
  readonly #firstOffsets = new Map<string, number>();

  append(stream: string, records: readonly LogRecord[]) {
    return Effect.sync(() => {
      const entries = this.#getEntries(stream);
      const firstOffset = entries.length;
      for (const record of records) {
        entries.push({ offset: entries.length, appendedAtMs: 0, record });
      }
      return firstOffset;
    });
  }

  read(
    stream: string,
    options: { readonly fromOffset: number; readonly waitMs?: number },
  ) {
    return Effect.gen({ self: this }, function* () {
      const firstOffset = this.#firstOffsets.get(stream) ?? 0;
      if (options.fromOffset < firstOffset) {
        return yield* new LogTruncated({ message: "Truncated", firstOffset });
      }
      const entries = this.#getEntries(stream).slice(options.fromOffset);
      if (entries.length === 0) yield* Effect.sleep(options.waitMs ?? 0);
      const nextOffset = options.fromOffset + entries.length;
      return { firstOffset, nextOffset, entries };
    });
  }

  add(stream: string, count: number): void {
    for (let index = 0; index < count; index++) {
      const record: LogRecord = {
        kind: "form",
        recordId: "r",
        service: "s",
        slot: index,
        members: ["a"],
        proposer: "p",
      };
      this.#push(stream, record);
    }
  }

  addSnapshot(
    { nextOffset, count }: {
      readonly nextOffset: number;
      readonly count: number;
    },
  ): void {
    this.#push(SNAPSHOT_STREAM, {
      kind: "snapshot",
      recordId: "r",
      stream: "fleet",
      nextOffset,
      state: codec.encode(count),
    });
  }

  truncate(stream: string, firstOffset: number): void {
    this.#firstOffsets.set(stream, firstOffset);
  }

  count(stream: string): number {
    return this.#getEntries(stream).length;
  }

  #push(stream: string, record: LogRecord): void {
    const entries = this.#getEntries(stream);
    entries.push({ offset: entries.length, appendedAtMs: 0, record });
  }

  #getEntries(stream: string): LogEntry[] {
    const entries = this.#streams.get(stream) ?? [];
    this.#streams.set(stream, entries);
    return entries;
  }
}
