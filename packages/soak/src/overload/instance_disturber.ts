import type { FakeInstanceServer, FakePlatform } from "@celerytray/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import type { OverloadOptions } from "./overload_options.ts";
import type { Disturbance } from "./platform_messages.ts";
import { RigRandom } from "./rig_random.ts";

const MIN_SILENCE_MS = 1_100;
const MAX_SILENCE_MS = 1_900;
const MIN_SILENCE_INTERVAL_MS = 300;
const MAX_SILENCE_INTERVAL_MS = 1_200;
const DRAIN_INTERVAL_MS = 4_000;
/** A member that drains remains while its head has work, at most this long. */
const MAX_DRAIN_MS = 10_000;
const DRAIN_CHECK_MS = 100;
/** Time from the word that it leaves until an instance stops to listen. */
const MIN_DRAIN_MS = 3_000;
const RETURN_MS = 1_000;

/** Has sound instances fall silent, and others drain, leave and come back. */
export class InstanceDisturber {
  readonly disturbances: Disturbance[] = [];
  readonly #platform: FakePlatform;
  readonly #options: OverloadOptions;
  readonly #random: RigRandom;
  readonly #prepare: (id: string) => void;
  #isStopped = false;

  constructor(
    platform: FakePlatform,
    options: OverloadOptions,
    prepare: (id: string) => void,
  ) {
    this.#platform = platform;
    this.#options = options;
    this.#random = new RigRandom(options.seed);
    this.#prepare = prepare;
  }

  start(): void {
    if (this.#options.hasSilences) void this.#silenceInstances();
    if (this.#options.hasDrains) void this.#drainInstances();
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Silences a head or another member of a replica that serves. */
  async #silenceInstances(): Promise<void> {
    while (!this.#isStopped) {
      const heads = this.#platform.listServing();
      if (heads.length > 0) {
        const { members } = this.#random.pick(heads).instance.membership!;
        // Heads are silenced about as often as all their other members.
        const id = this.#random.pick([members[0]!, this.#random.pick(members)]);
        const durationMs = this.#random.integer(MIN_SILENCE_MS, MAX_SILENCE_MS);
        this.#platform.find(id).fallSilent(durationMs);
        this.#record(id === members[0] ? "silent-head" : "silent-member", {
          name: `${id} of ${members.join("+")}`,
          durationMs,
        });
      }
      await sleep(
        this.#random.integer(MIN_SILENCE_INTERVAL_MS, MAX_SILENCE_INTERVAL_MS),
      );
    }
  }

  async #drainInstances(): Promise<void> {
    while (!this.#isStopped) {
      await sleep(DRAIN_INTERVAL_MS);
      const ids = [...this.#platform.instances.keys()];
      await this.#drain(this.#random.pick(ids));
    }
  }

  async #drain(id: string): Promise<void> {
    const startedAtMs = performance.now();
    const server = this.#platform.instances.get(id)!;
    this.#record("drain", { name: id, durationMs: 0 });
    this.#platform.announceLeaving(id);
    const elapsedMs = () => performance.now() - startedAtMs;
    while (
      elapsedMs() < MIN_DRAIN_MS ||
      (this.#isInUse(server) && elapsedMs() < MAX_DRAIN_MS)
    ) await sleep(DRAIN_CHECK_MS);
    this.#platform.kill(id);
    this.#record("left", { name: id, durationMs: elapsedMs() });
    await sleep(RETURN_MS);
    await this.#platform.restart(id);
    this.#prepare(id);
  }

  #isInUse({ instance }: FakeInstanceServer): boolean {
    const [head] = instance.membership?.members ?? [];
    if (head === undefined) return false;
    const server = this.#platform.instances.get(head)!;
    return server.listStreamingCallIds().length > 0;
  }

  #record(
    what: string,
    of: { readonly name: string; readonly durationMs: number },
  ): void {
    this.disturbances.push({ atMs: Date.now(), what, ...of });
  }
}
