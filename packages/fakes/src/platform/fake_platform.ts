import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import {
  FakeInstanceServer,
  type FakeStreamRun,
} from "./fake_instance_server.ts";
import { FakePlainInstance } from "./fake_plain_instance.ts";
import type { FakeArrival, FakeHttpInstance } from "./fake_http_instance.ts";
import type { HeadLimits } from "./head_places.ts";
import type { JoinedAnswer } from "./joined_answer.ts";
import { FakeStoreServer } from "./fake_store_server.ts";

const HOST = "127.0.0.1";
const CONFIG_TOPIC = "keyed.op";
const CONFIG_KEY = "config";
const EVACUATION_PREFIX = "evacuate/";
const INSTANCES_TOPIC = "keyed.servers";
/** Time until an instance that ended leaves the list, because its heartbeats are missed. */
const LIST_REMOVAL_DELAY_MS = 300;

/** Callbacks of the platform. */
export interface FakePlatformOptions {
  /** Called for each request that an instance executes or rejects. */
  readonly onArrival?: (arrival: FakeArrival) => void;
  /** Called as an instance is killed or crashes. */
  readonly onEnd?: (id: string) => void;
  /** Called for each answer that an instance joined with a fault. */
  readonly onJoined?: (answer: JoinedAnswer) => void;
  /** Called as a run of a stream ends at the head of a replica. */
  readonly onStreamEnd?: (run: FakeStreamRun) => void;
  /** Limits of each model instance as the head of a replica; none by default. */
  readonly headLimits?: HeadLimits;
  /** Returns the address to publish for an instance, such as that of a proxy. */
  readonly resolveListedAddress?: (
    id: string,
    address: string,
  ) => Promise<string>;
}

/** Fake of the users' platform on loopback: a store and instances over HTTP. */
export class FakePlatform {
  readonly storeServer = new FakeStoreServer();
  /** The latest incarnation of each model instance, by id. */
  readonly instances = new Map<string, FakeInstanceServer>();
  /** The latest incarnation of each plain instance, by id. */
  readonly plainInstances = new Map<string, FakePlainInstance>();
  /** Parts of prompts on which every model instance crashes. */
  readonly deadlyParts = new Set<string>();
  /** Bodies of requests on which every plain instance crashes. */
  readonly deadlyBodies = new Set<string>();
  /** Instances that crashed on one of either, in order. */
  readonly crashedIds: string[] = [];
  readonly #options: FakePlatformOptions;
  readonly #addresses = new Map<string, string>();
  readonly #restartingIds = new Set<string>();
  #incarnationCount = 0;

  constructor(options: FakePlatformOptions = {}) {
    this.#options = options;
  }

  /** Starts the store; returns its address. */
  start(): Promise<string> {
    return listen(this.storeServer.server);
  }

  /** Publishes a configuration, as the operator does. */
  publishConfig(config: unknown): void {
    this.storeServer.store.append(CONFIG_TOPIC, {
      key: CONFIG_KEY,
      value: Buffer.from(JSON.stringify(config)),
    });
  }

  /** Publishes the evacuation of a zone, to which no further requests may be sent. */
  evacuate(zone: string): void {
    this.storeServer.store.append(CONFIG_TOPIC, {
      key: `${EVACUATION_PREFIX}${zone}`,
      value: Buffer.from("{}"),
    });
  }

  /** Ends the evacuation of a zone. */
  restore(zone: string): void {
    this.storeServer.store.append(CONFIG_TOPIC, {
      key: `${EVACUATION_PREFIX}${zone}`,
    });
  }

  /**
   * Compacts the operator's topic and the instance list to the latest record of
   * each key.
   */
  compactTopics(): void {
    this.storeServer.compactTopic(CONFIG_TOPIC);
    this.storeServer.compactTopic(INSTANCES_TOPIC);
  }

  /**
   * Writes the instance list anew, as the instances do after the store came back
   * from an older copy. Those that have ended lapse.
   */
  rewriteInstances(): void {
    for (const server of this.#listInstances()) {
      if (server.isAlive) this.#publish(server);
      else this.storeServer.store.append(INSTANCES_TOPIC, { key: server.id });
    }
  }

  /** Starts a model instance, which updates its entry in the list at each change. */
  async startInstance(
    id: string,
    domain: string,
    zone = "zone-a",
    coldMs = 0,
  ): Promise<void> {
    const { onStreamEnd, headLimits } = this.#options;
    const server = new FakeInstanceServer({
      ...(onStreamEnd === undefined ? {} : { onStreamEnd }),
      ...(headLimits === undefined ? {} : { limits: headLimits }),
      ...this.#createOptions(id, { zone, coldMs }),
      domain,
      onChange: () => this.#publish(server),
      awaitMember: async (id) => await this.instances.get(id)?.awaitVoice(),
      deadlyParts: this.deadlyParts,
      onCrash: () => this.#crash(id),
    });
    await this.#publishAddress(server);
    this.instances.set(id, server);
  }

  /** Starts an instance of the plain service. */
  async startPlainInstance(
    id: string,
    zone: string,
    coldMs = 0,
  ): Promise<void> {
    const server = new FakePlainInstance({
      ...this.#createOptions(id, { zone, coldMs }),
      deadlyBodies: this.deadlyBodies,
      onCrash: () => this.#crash(id),
    });
    await this.#publishAddress(server);
    this.plainInstances.set(id, server);
  }

  /**
   * Restarts an instance that ended, as its next incarnation; does nothing and
   * returns false if it runs or is being restarted.
   */
  async restart(id: string, coldMs = 0): Promise<boolean> {
    const domain = this.instances.get(id)?.instance.domain;
    const { zone, isAlive } = this.find(id);
    if (isAlive || this.#restartingIds.has(id)) return false;
    this.#restartingIds.add(id);
    if (domain === undefined) await this.startPlainInstance(id, zone, coldMs);
    else await this.startInstance(id, domain, zone, coldMs);
    this.#restartingIds.delete(id);
    return true;
  }

  /** Returns the latest incarnation of an instance; throws if none was started. */
  find(id: string): FakeHttpInstance {
    const found = this.instances.get(id) ?? this.plainInstances.get(id);
    if (found === undefined) {
      throw new Error(`No instance has the id ${id}; start it first`);
    }
    return found;
  }

  /** Kills an instance; its entry leaves the list once its heartbeats are missed. */
  kill(id: string): void {
    this.find(id).kill();
    this.#options.onEnd?.(id);
    setTimeout(() => {
      if (this.find(id).isAlive) return;
      this.storeServer.store.append(INSTANCES_TOPIC, { key: id });
    }, LIST_REMOVAL_DELAY_MS).unref();
  }

  /** Publishes that an instance is leaving; it continues to serve. */
  announceLeaving(id: string): void {
    const server = this.find(id);
    server.isLeaving = true;
    this.#publish(server);
  }

  /** Removes an instance's entry from the list; it continues to serve. */
  unlist(id: string): void {
    const server = this.find(id);
    server.isUnlisted = true;
    this.#publish(server);
  }

  /** Makes an instance cold for a time, and publishes it. */
  makeCold(id: string, durationMs: number): void {
    const server = this.find(id);
    server.coldUntilMs = performance.now() + durationMs;
    this.#publish(server);
  }

  /** Returns the heads of open replicas whose members are all alive. */
  listServing(): readonly FakeInstanceServer[] {
    return [...this.instances.values()].filter(({ instance }) =>
      instance.isAlive && instance.membership?.state === "open" &&
      instance.membership.members[0] === instance.id &&
      instance.membership.members.every((id) =>
        this.instances.get(id)?.instance.isAlive === true
      )
    );
  }

  /** Stops the store and all instances. */
  stop(): void {
    for (const server of this.instances.values()) server.kill();
    for (const server of this.plainInstances.values()) server.kill();
    this.storeServer.server.close();
    this.storeServer.server.closeAllConnections();
  }

  #listInstances(): readonly FakeHttpInstance[] {
    return [...this.instances.values(), ...this.plainInstances.values()];
  }

  #crash(id: string): void {
    this.crashedIds.push(id);
    this.kill(id);
  }

  #createOptions(
    id: string,
    { zone, coldMs }: { readonly zone: string; readonly coldMs: number },
  ) {
    this.#incarnationCount += 1;
    const { onArrival, onJoined } = this.#options;
    return {
      id,
      zone,
      bornAtMs: this.#incarnationCount,
      coldUntilMs: coldMs === 0 ? 0 : performance.now() + coldMs,
      ...(onArrival === undefined ? {} : { onArrival }),
      ...(onJoined === undefined ? {} : { onJoined }),
    };
  }

  async #publishAddress(server: FakeHttpInstance): Promise<void> {
    const address = await listen(server.server);
    const { resolveListedAddress } = this.#options;
    const listedAddress = await resolveListedAddress?.(server.id, address) ??
      address;
    this.#addresses.set(server.id, listedAddress);
    this.#publish(server);
  }

  #publish(server: FakeHttpInstance): void {
    const address = this.#addresses.get(server.id);
    if (address === undefined || !server.isAlive) return;
    this.storeServer.store.append(
      INSTANCES_TOPIC,
      server.isUnlisted ? { key: server.id } : {
        key: server.id,
        value: Buffer.from(server.createListEntry(address)),
      },
    );
  }
}

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}
