import { createFakeConfig, FakePlatform } from "@celerytray/fakes";
import { bounds } from "./checks.ts";
import type { SoakHistory } from "./history.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";
import type { PlanTargets } from "./plan.ts";
import { SoakProcess, type SoakProgram } from "./soak_process.ts";

const ZONES = ["zone-a", "zone-b"] as const;
const PROCESS_COUNT = 3;
const MODEL_INSTANCES_PER_ZONE = 5;
const PLAIN_INSTANCES_PER_ZONE = 2;
const TARGETS_MS = [300, 400, 500];

/** Keys of the soak's callers, by what becomes of them. */
export const soakKeys = {
  steady: "key-steady",
  burst: "key-burst",
  withdrawn: ["key-1", "key-2"],
} as const;

/** What every plan can make faulty. */
export const planTargets: PlanTargets = {
  processes: listNames("front", PROCESS_COUNT),
  instances: [
    ...listNames("model", ZONES.length * MODEL_INSTANCES_PER_ZONE),
    ...listNames("plain", ZONES.length * PLAIN_INSTANCES_PER_ZONE),
  ],
  zones: ZONES,
  keys: soakKeys.withdrawn,
};

/** Processes in front of the platform's stand-ins, all behind proxies. */
export class SoakWorld {
  readonly history: SoakHistory;
  readonly platform: FakePlatform;
  readonly processes = new Map<string, SoakProcess>();
  /** Proxies in front of instances, by the instance's id. */
  readonly instanceProxies = new Map<string, LoopbackProxy>();
  readonly #withdrawn = new Set<string>();
  #version = 0;

  constructor(history: SoakHistory) {
    this.history = history;
    this.platform = new FakePlatform({
      onArrival: (arrival) => history.arrivals.push(arrival),
      announce: (id, address) => this.#announce(id, address),
    });
  }

  /** Starts the store, the instances and the processes. */
  async start(options: {
    readonly program: SoakProgram;
    readonly hasModels: boolean;
  }): Promise<void> {
    const storeAddress = await this.platform.start();
    this.publish();
    await this.#startInstances(options.hasModels);
    for (const [index, name] of planTargets.processes.entries()) {
      const process = new SoakProcess({
        name,
        zone: ZONES[index % ZONES.length]!,
        program: options.program,
        storeAddress,
        history: this.history,
      });
      this.processes.set(name, process);
      await process.start();
      // One at a time, so that a busy machine has no lead fall silent.
      await process.waitUntilAnswering();
    }
  }

  /** Publishes the next version of the configuration. */
  publish(): void {
    this.#version += 1;
    const keys = [soakKeys.steady, soakKeys.burst, ...soakKeys.withdrawn];
    const valid = keys.filter((key) => !this.#withdrawn.has(key));
    const targetMs = TARGETS_MS[this.#version % TARGETS_MS.length]!;
    this.platform.publishConfig(createFakeConfig({
      version: this.#version,
      tenants: valid.map((key) => ({ name: `owner-of-${key}`, keys: [key] })),
      cold: {
        startMs: bounds.coldStartMs,
        requestsPerSecond: bounds.coldPerSecond,
      },
      targetMs,
    }));
  }

  /** Publishes a configuration that has a key no more. */
  withdraw(key: string): void {
    this.#withdrawn.add(key);
    this.publish();
    this.history.begin(this.history.withdrawals, key);
  }

  /** Ends all that the soak started. */
  async stop(): Promise<void> {
    for (const process of this.processes.values()) await process.stop();
    for (const proxy of this.instanceProxies.values()) proxy.stop();
    this.platform.stop();
  }

  async #startInstances(hasModels: boolean): Promise<void> {
    for (const [index, zone] of ZONES.entries()) {
      for (const id of listNames("plain", PLAIN_INSTANCES_PER_ZONE, index)) {
        await this.platform.startPlainInstance(id, zone);
      }
      if (!hasModels) continue;
      for (const id of listNames("model", MODEL_INSTANCES_PER_ZONE, index)) {
        await this.platform.startInstance(id, `domain-of-${zone}`, zone);
      }
    }
  }

  async #announce(id: string, address: string): Promise<string> {
    this.instanceProxies.get(id)?.stop();
    const proxy = new LoopbackProxy(address);
    this.instanceProxies.set(id, proxy);
    return await proxy.start();
  }
}

/** Names with the numbers of one of several groups of the same size. */
function listNames(kind: string, count: number, group = 0): readonly string[] {
  return Array.from(
    { length: count },
    (_, index) => `${kind}-${group * count + index}`,
  );
}
