import type { ConfigSet } from "@celerytray/schema";
import { FakeLog } from "@celerytray/fakes";
import {
  CONFIG_STREAM,
  type ConfigStream,
  createConfigStream,
  createExchangedConfig,
  createLogWriter,
  HybridClock,
  type LogWriter,
  Membership,
  type PeerTransport,
  publishConfig,
} from "celerytray";
import { Clock, Effect, Exit, Scope } from "effect";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { VirtualLog, type VirtualLogFaults } from "./virtual_log.ts";

/** A version that an entry instance put in force. */
export interface ObservedVersion {
  readonly version: number;
  readonly atMs: number;
  readonly config: ConfigSet;
}

/** The control plane of one entry instance, in virtual time. */
export interface VirtualEntry {
  readonly instanceId: string;
  readonly config: ConfigStream;
  readonly membership: Membership;
  readonly writer: LogWriter;
  readonly logFaults: VirtualLogFaults;
  /** Versions that came into force since this start, in order. */
  readonly observedVersions: ObservedVersion[];
  readonly traffic: { calls: number; sentBytes: number };
  /** While true, no message to or from it arrives. */
  isPaused: boolean;
  readonly stop: Effect.Effect<void>;
}

/** Options of a group of entry instances. */
export interface VirtualEntriesOptions {
  readonly count: number;
  readonly seed: number;
  readonly intervalMs?: number;
  readonly isolationTimeoutMs?: number;
}

const DEFAULT_INTERVAL_MS = 1_000;
const DEFAULT_ISOLATION_TIMEOUT_MS = 4_000;
const LINK_DELAY_MS = 2;
const UNREACHABLE = { message: "unreachable" };

/**
 * Entry instances that share a log and exchange messages over simulated links.
 * Each link may be cut in one direction.
 */
export class VirtualEntries {
  readonly log = new FakeLog();
  readonly entries = new Map<string, VirtualEntry>();
  /** Directions in which no connection opens, as "from>to". */
  readonly cutLinks = new Set<string>();
  readonly #options: VirtualEntriesOptions;
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(options: VirtualEntriesOptions) {
    this.#options = options;
    this.#generator = xoroshiro128plus(options.seed);
  }

  get ids(): string[] {
    return Array.from(
      { length: this.#options.count },
      (_, index) => `entry-${index}`,
    );
  }

  get(index: number): VirtualEntry {
    return this.entries.get(`entry-${index}`)!;
  }

  /** Starts all instances. */
  startAll(): Effect.Effect<void> {
    return Effect.forEach(this.ids, (id) => this.start(id), { discard: true });
  }

  /** Starts or restarts an instance with no state and the given log faults. */
  start(
    instanceId: string,
    logFaults: VirtualLogFaults = {},
  ): Effect.Effect<VirtualEntry> {
    return Effect.gen({ self: this }, function* () {
      yield* this.entries.get(instanceId)?.stop ?? Effect.void;
      const scope = yield* Scope.make();
      const entry = yield* this.#create(instanceId, { scope, logFaults }).pipe(
        Effect.provideService(Scope.Scope, scope),
      );
      this.entries.set(instanceId, entry);
      yield* entry.membership.run().pipe(
        Effect.provideService(Scope.Scope, scope),
      );
      return entry;
    });
  }

  /** Cuts or restores the links from one instance to all others. */
  setOutgoingCut(instanceId: string, isCut: boolean): void {
    for (const other of this.ids) this.#setLink(instanceId, other, isCut);
  }

  /** Cuts or restores the links from all others to one instance. */
  setIncomingCut(instanceId: string, isCut: boolean): void {
    for (const other of this.ids) this.#setLink(other, instanceId, isCut);
  }

  /** Publishes a configuration through one instance. */
  publish(
    entry: VirtualEntry,
    options: {
      readonly config: ConfigSet;
      readonly recordId: string;
      readonly refinesVersion?: number;
      readonly author?: string;
    },
  ) {
    return publishConfig({
      author: "test",
      ...options,
      current: entry.config.current,
      waitForOffset: entry.config.waitForOffset,
      waitForVersionAbove: entry.config.waitForVersionAbove,
      append: (record) => entry.writer.append(record),
    });
  }

  /** Stops all instances. */
  stopAll(): Effect.Effect<void> {
    return Effect.forEach([...this.entries.values()], ({ stop }) => stop, {
      discard: true,
    });
  }

  #create(
    instanceId: string,
    options: {
      readonly scope: Scope.Closeable;
      readonly logFaults: VirtualLogFaults;
    },
  ): Effect.Effect<VirtualEntry, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const { scope, logFaults } = options;
      const log = new VirtualLog(this.log, logFaults);
      const observedVersions: ObservedVersion[] = [];
      const traffic = { calls: 0, sentBytes: 0 };
      const config = yield* createConfigStream({
        log,
        onChange: ({ version, config }, atMs) =>
          observedVersions.push({ version, atMs, config }),
      });
      const writer = yield* createLogWriter({ log, stream: CONFIG_STREAM });
      const membership = new Membership({
        self: { instanceId, adminAddress: toAddress(instanceId) },
        transport: this.#createTransport(instanceId, traffic),
        config: createExchangedConfig(config),
        listEntryInstances: () =>
          this.ids.filter((id) => id !== instanceId).map((id) => ({
            instanceId: id,
            adminAddress: toAddress(id),
          })),
        random: () => this.#random(),
        clock: new HybridClock(),
        intervalMs: this.#options.intervalMs ?? DEFAULT_INTERVAL_MS,
        isolationTimeoutMs: this.#options.isolationTimeoutMs ??
          DEFAULT_ISOLATION_TIMEOUT_MS,
      }, yield* Clock.currentTimeMillis);
      return {
        instanceId,
        config,
        membership,
        writer,
        logFaults,
        observedVersions,
        traffic,
        isPaused: false,
        stop: Scope.close(scope, Exit.void),
      };
    });
  }

  #createTransport(
    from: string,
    traffic: VirtualEntry["traffic"],
  ): PeerTransport {
    const call = <Value>(
      address: string,
      input: unknown,
      handle: (target: VirtualEntry) => Effect.Effect<Value>,
    ): Effect.Effect<Value, typeof UNREACHABLE> =>
      Effect.gen({ self: this }, function* () {
        traffic.calls += 1;
        traffic.sentBytes += countJsonBytes(input);
        const to = toInstanceId(address);
        yield* this.#sendRequest(from, to);
        const target = this.entries.get(to)!;
        const value = yield* handle(target);
        target.traffic.sentBytes += countJsonBytes(value);
        yield* this.#deliver(to, from);
        return cloneJson(value);
      });
    return {
      exchange: (address, message) =>
        call(
          address,
          message,
          ({ membership }) => membership.answer(cloneJson(message)),
        ),
      ping: (address) => call(address, undefined, () => Effect.succeed(true)),
      offerConfig: (address, update) =>
        call(address, update, ({ config }) => config.adopt(cloneJson(update)))
          .pipe(
            Effect.asVoid,
          ),
      probe: (address, targetAddress) =>
        call(
          address,
          targetAddress,
          (intermediary) =>
            this.#canReach(
              intermediary.instanceId,
              toInstanceId(targetAddress),
            ),
        ),
    };
  }

  #sendRequest(
    from: string,
    to: string,
  ): Effect.Effect<void, typeof UNREACHABLE> {
    return Effect.suspend(() =>
      this.cutLinks.has(`${from}>${to}`)
        ? Effect.never
        : this.#deliver(from, to)
    );
  }

  /**
   * Delays a message by the link delay. Never completes if an end is paused. A
   * response uses the request's connection, so that a cut of the way back does
   * not stop it.
   */
  #deliver(from: string, to: string): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(LINK_DELAY_MS);
      const isLost = this.entries.get(from)?.isPaused === true ||
        this.entries.get(to)?.isPaused === true;
      if (isLost) return yield* Effect.never;
    });
  }

  #canReach(from: string, to: string): Effect.Effect<boolean> {
    return this.#sendRequest(from, to).pipe(
      Effect.andThen(this.#deliver(to, from)),
      Effect.as(true),
      Effect.catch(() => Effect.succeed(false)),
    );
  }

  #setLink(from: string, to: string, isCut: boolean): void {
    if (from === to) return;
    if (isCut) this.cutLinks.add(`${from}>${to}`);
    else this.cutLinks.delete(`${from}>${to}`);
  }

  #random(): number {
    return (this.#generator.next() >>> 0) / 2 ** 32;
  }
}

function toAddress(instanceId: string): string {
  return `127.0.0.1:${10_000 + Number(instanceId.slice("entry-".length))}`;
}

function toInstanceId(address: string): string {
  return `entry-${Number(address.split(":")[1]) - 10_000}`;
}

function countJsonBytes(value: unknown): number {
  return value === undefined ? 0 : Buffer.byteLength(JSON.stringify(value));
}

function cloneJson<Value>(value: Value): Value {
  return value === undefined ? value : JSON.parse(JSON.stringify(value));
}
