import {
  createFakeConfig,
  FakePlatform,
  LoopbackProxy,
  ProcessCuts,
} from "@celerytray/fakes";
import { bounds } from "./bounds.ts";
import type { SoakHistory } from "./history.ts";
import type { PlanTargets } from "./planned_fault.ts";
import { SoakProcess, type SoakProgram } from "./soak_process.ts";

const ZONES = ["zone-a", "zone-b"] as const;
const PROCESS_COUNT = 3;
const MODEL_INSTANCES_PER_ZONE = 5;
const INSTANCES_PER_REPLICA = 2;
const PLAIN_INSTANCES_PER_ZONE = 2;
const TARGETS_MS = [300, 400, 500];
const GRACES_S = [8, 4, 5];

/** API keys of the callers, by their use. */
export const soakKeys = {
  steady: "key-steady",
  burst: "key-burst",
  withdrawn: ["key-1", "key-2"],
} as const;

/** Targets that every plan can affect. */
export const planTargets: PlanTargets = {
  processes: listNames("front", PROCESS_COUNT),
  instances: [
    ...listNames("model", ZONES.length * MODEL_INSTANCES_PER_ZONE),
    ...listNames("plain", ZONES.length * PLAIN_INSTANCES_PER_ZONE),
  ],
  replicas: ZONES.map((_, index) =>
    listNames("model", MODEL_INSTANCES_PER_ZONE, index)
      .slice(0, INSTANCES_PER_REPLICA)
  ),
  zones: ZONES,
  zoneProcesses: ZONES.map((_, zone) =>
    listNames("front", PROCESS_COUNT).filter((_, index) =>
      index % ZONES.length === zone
    )
  ),
  keys: soakKeys.withdrawn,
};

/** Processes, their platform fakes and the proxies between them. */
export class SoakCluster {
  readonly history: SoakHistory;
  readonly platform: FakePlatform;
  readonly processes = new Map<string, SoakProcess>();
  /** Proxies in front of instances, by instance id. */
  readonly instanceProxies = new Map<string, LoopbackProxy>();
  /** Cuts the links of processes to all instances. */
  readonly cuts = new ProcessCuts();
  /** Further routes of the configuration, which nobody calls. */
  idleRoutes = 0;
  readonly #withdrawn = new Set<string>();
  #version = 0;
  #routeCount = 0;
  #endRoute: () => void = () => {};
  /** The further route in force, and the one that was dropped last. */
  routePaths: { readonly added?: string; readonly dropped?: string } = {};

  constructor(history: SoakHistory) {
    this.history = history;
    this.platform = new FakePlatform({
      onArrival: (arrival) => history.arrivals.push(arrival),
      onJoined: (answer) => history.joinedAnswers.push(answer),
      onEnd: (instanceId) =>
        history.instanceEnds.push({ atMs: performance.now(), instanceId }),
      resolveListedAddress: (id, address) => this.#announce(id, address),
    });
  }

  /** Starts the store, the instances and the processes. */
  async start(options: {
    readonly program: SoakProgram;
    readonly hasModels: boolean;
  }): Promise<void> {
    const storeAddress = await this.platform.start();
    this.publishConfig();
    await this.#startInstances(options.hasModels);
    for (const [index, name] of planTargets.processes.entries()) {
      const process = new SoakProcess({
        name,
        zone: ZONES[index % ZONES.length]!,
        program: options.program,
        storeAddress,
        history: this.history,
        graceS: GRACES_S[index % GRACES_S.length]!,
      });
      this.processes.set(name, process);
      await process.start();
      // One at a time, so that on a busy machine the leader keeps answering.
      await process.waitUntilAnswering();
    }
  }

  /** Publishes the next version of the configuration. */
  publishConfig(): void {
    this.#version += 1;
    this.#writeConfig();
  }

  /** Adds a further route and drops the one before. */
  changeRoute(): void {
    const { added: dropped } = this.routePaths;
    this.#routeCount += 1;
    const added = `/further-${this.#routeCount}/`;
    this.routePaths = {
      added,
      ...(dropped === undefined ? {} : { dropped }),
    };
    this.publishConfig();
    this.#endRoute();
    this.#endRoute = this.history.beginState(this.history.routePeriods, added);
  }

  /** Writes anew what a store lacks that came back from an older copy. */
  rewriteStore(): void {
    this.#writeConfig();
    this.platform.rewriteInstances();
    const latest = new Map(
      this.history.evacuations.map((each) => [each.name, each]),
    );
    for (const { name, toMs } of latest.values()) {
      if (toMs === Number.POSITIVE_INFINITY) this.platform.evacuate(name);
      else this.platform.restore(name);
    }
  }

  #writeConfig(): void {
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
      furtherPaths: [
        ...(this.routePaths.added === undefined ? [] : [this.routePaths.added]),
        ...listNames("/idle", this.idleRoutes).map((path) => `${path}/`),
      ],
    }));
  }

  /** Publishes a configuration without a key. */
  withdrawKey(key: string): void {
    this.#withdrawn.add(key);
    this.publishConfig();
    this.history.beginState(this.history.withdrawals, key);
  }

  /** Stops everything that it started. */
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
    const previous = this.instanceProxies.get(id);
    if (previous !== undefined) {
      this.cuts.remove(previous);
      previous.stop();
    }
    const proxy = new LoopbackProxy(address);
    this.instanceProxies.set(id, proxy);
    const listedAddress = await proxy.start();
    this.cuts.add(proxy);
    return listedAddress;
  }
}

/** Numbered names of one of several groups of equal size. */
function listNames(kind: string, count: number, group = 0): readonly string[] {
  return Array.from(
    { length: count },
    (_, index) => `${kind}-${group * count + index}`,
  );
}
