import { createFakeConfig } from "@celerytray/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import type { EntryProcess } from "./entry_process.ts";
import { MAX_CONNECTIONS, overloadModels, SLOTS } from "./overload_models.ts";
import type { OverloadOptions } from "./overload_options.ts";
import type { Disturbance } from "./platform_messages.ts";
import type { PlatformProcess } from "./platform_process.ts";
import { RigRandom } from "./rig_random.ts";
import { KEY } from "./stream_caller.ts";

const MAX_ATTEMPTS = 2;
const CONFIG_INTERVAL_MS = { min: 400, max: 2_500 };
const RELOAD_INTERVAL_MS = { min: 500, max: 2_000 };
const RESTART_INTERVAL_MS = { min: 500, max: 2_000 };
const SHORT_PAUSE_MS = { min: 30, max: 100 };
const SHORT_PAUSE_INTERVAL_MS = { min: 20, max: 200 };
const LONG_PAUSE_MS = { min: 300, max: 1_200 };
const LONG_PAUSE_INTERVAL_MS = { min: 2_000, max: 6_000 };

/** Creates a configuration; versions differ in nothing, much or little. */
export function createConfig(version: number, random: RigRandom) {
  const isPlain = random.pick([true, false]);
  return createFakeConfig({
    version,
    tenants: [{ name: "o", keys: [KEY] }],
    models: overloadModels,
    slots: SLOTS,
    maxConnections: MAX_CONNECTIONS,
    streamAttempts: MAX_ATTEMPTS,
    ...(isPlain ? {} : {
      // None is below the callers' deadline.
      streamTimeoutMs: random.pick([6_500, 8_000, 20_000]),
      targetMs: random.pick([300, 400, 1_000]),
      idleTimeoutMs: random.pick([2_000, 5_000, 15_000]),
      furtherPaths: Array.from(
        { length: random.pick([0, 3, 400]) },
        (_, index) => `/path-${index}/`,
      ),
    }),
  });
}

/** What the operator and the machines do to the entry processes. */
export class PlannedWork {
  readonly disturbances: Disturbance[] = [];
  readonly #options: OverloadOptions;
  readonly #platform: PlatformProcess;
  readonly #entries: readonly EntryProcess[];
  readonly #random: RigRandom;
  #version = 1;
  #isStopped = false;

  constructor({ options, platform, entries }: {
    readonly options: OverloadOptions;
    readonly platform: PlatformProcess;
    readonly entries: readonly EntryProcess[];
  }) {
    this.#options = options;
    this.#platform = platform;
    this.#entries = entries;
    this.#random = new RigRandom(options.seed + 1);
  }

  /** Works until it is stopped and its last work is done. */
  async run(): Promise<void> {
    const { hasPauses, hasRestarts } = this.#options;
    await Promise.all([
      this.#repeat(CONFIG_INTERVAL_MS, () => this.#publish()),
      this.#repeat(RELOAD_INTERVAL_MS, () => this.#reload()),
      hasRestarts &&
      this.#repeat(
        RESTART_INTERVAL_MS,
        (index) => this.#restart(this.#entries[index % this.#entries.length]!),
      ),
      hasPauses &&
      this.#repeat(SHORT_PAUSE_INTERVAL_MS, () => this.#pause(SHORT_PAUSE_MS)),
      hasPauses &&
      this.#repeat(LONG_PAUSE_INTERVAL_MS, () => this.#pause(LONG_PAUSE_MS)),
    ]);
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #repeat(
    intervalMs: Range,
    work: (index: number) => Promise<void> | void,
  ): Promise<void> {
    for (let index = 0;; index++) {
      await sleep(this.#draw(intervalMs));
      if (this.#isStopped) return;
      await work(index);
    }
  }

  #publish(): void {
    this.#version += this.#random.integer(1, 3);
    this.#platform.publishConfig(createConfig(this.#version, this.#random));
    this.#record("config", { name: String(this.#version), durationMs: 0 });
  }

  #reload(): void {
    const entry = this.#random.pick(this.#entries);
    entry.reload();
    this.#record("reload", { name: entry.name, durationMs: 0 });
  }

  async #restart(entry: EntryProcess): Promise<void> {
    const startedAtMs = performance.now();
    const how = await entry.restart();
    const durationMs = performance.now() - startedAtMs;
    this.#record(`restart ${how}`, { name: entry.name, durationMs });
  }

  async #pause(range: Range): Promise<void> {
    const entry = this.#random.pick(this.#entries);
    const durationMs = this.#draw(range);
    this.#record("pause", { name: entry.name, durationMs });
    await entry.pause(durationMs);
  }

  #draw({ min, max }: Range): number {
    return this.#random.integer(min, max);
  }

  #record(
    what: string,
    of: { readonly name: string; readonly durationMs: number },
  ): void {
    this.disturbances.push({ atMs: Date.now(), what, ...of });
  }
}

interface Range {
  readonly min: number;
  readonly max: number;
}
