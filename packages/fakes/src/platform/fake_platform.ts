import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { FakeInstanceServer } from "./fake_instance_server.ts";
import { FakePlainInstance } from "./fake_plain_instance.ts";
import type { FakeArrival, FakeHttpInstance } from "./fake_service.ts";
import { FakeStoreServer } from "./fake_store_server.ts";

const HOST = "127.0.0.1";
const CONFIG_TOPIC = "keyed.op";
const CONFIG_KEY = "config";
const EVACUATION_PREFIX = "evacuate/";
const INSTANCES_TOPIC = "keyed.servers";
const MISSED_PINGS_MS = 300;

/** Where an instance runs, and what watches it. */
export interface FakePlatformOptions {
  readonly onArrival?: (arrival: FakeArrival) => void;
  /** The address that the list tells for an instance at an address. */
  readonly resolveListedAddress?: (
    id: string,
    address: string,
  ) => Promise<string>;
}

/** The users' platform on loopback: a store and instances over HTTP. */
export class FakePlatform {
  readonly storeServer = new FakeStoreServer();
  /** Model instances of their newest incarnation. */
  readonly instances = new Map<string, FakeInstanceServer>();
  /** Plain instances of their newest incarnation. */
  readonly plainInstances = new Map<string, FakePlainInstance>();
  readonly #options: FakePlatformOptions;
  readonly #addresses = new Map<string, string>();
  #births = 0;

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

  /** Asks that nothing more is sent to a zone. */
  evacuate(zone: string): void {
    this.storeServer.store.append(CONFIG_TOPIC, {
      key: `${EVACUATION_PREFIX}${zone}`,
      value: Buffer.from("{}"),
    });
  }

  /** Ends an evacuation. */
  restore(zone: string): void {
    this.storeServer.store.append(CONFIG_TOPIC, {
      key: `${EVACUATION_PREFIX}${zone}`,
    });
  }

  /** Keeps only the newest records of the operator's and the list's topic. */
  compactTopics(): void {
    this.storeServer.forgetHistory(CONFIG_TOPIC);
    this.storeServer.forgetHistory(INSTANCES_TOPIC);
  }

  /** Starts a model instance that keeps its entry in the list. */
  async startInstance(
    id: string,
    domain: string,
    zone = "zone-a",
    coldMs = 0,
  ): Promise<void> {
    const server = new FakeInstanceServer({
      ...this.#createOptions(id, { zone, coldMs }),
      domain,
      onChange: () => this.#publish(server),
    });
    await this.#announce(server);
    this.instances.set(id, server);
  }

  /** Starts an instance of the plain service. */
  async startPlainInstance(
    id: string,
    zone: string,
    coldMs = 0,
  ): Promise<void> {
    const server = new FakePlainInstance(
      this.#createOptions(id, { zone, coldMs }),
    );
    await this.#announce(server);
    this.plainInstances.set(id, server);
  }

  /** Starts an instance that ended anew, as its next incarnation. */
  async restart(id: string, coldMs = 0): Promise<void> {
    const domain = this.instances.get(id)?.instance.domain;
    const { zone } = this.find(id);
    if (domain === undefined) await this.startPlainInstance(id, zone, coldMs);
    else await this.startInstance(id, domain, zone, coldMs);
  }

  /** Its newest incarnation. */
  find(id: string): FakeHttpInstance {
    const found = this.instances.get(id) ?? this.plainInstances.get(id);
    if (found === undefined) {
      throw new Error(`No instance is called ${id}; start it first`);
    }
    return found;
  }

  /** Ends an instance; its entry leaves the list once its pings are missed. */
  kill(id: string): void {
    this.find(id).kill();
    setTimeout(() => {
      if (this.find(id).isAlive) return;
      this.storeServer.store.append(INSTANCES_TOPIC, { key: id });
    }, MISSED_PINGS_MS).unref();
  }

  /** Lets the entry of an instance say that it leaves; it works on. */
  announceLeaving(id: string): void {
    const server = this.find(id);
    server.isLeaving = true;
    this.#publish(server);
  }

  /** Lets an instance be cold for a time. */
  makeCold(id: string, forMs: number): void {
    const server = this.find(id);
    server.coldUntilMs = performance.now() + forMs;
    this.#publish(server);
  }

  /** Heads that serve now. */
  listServing(): readonly FakeInstanceServer[] {
    return [...this.instances.values()].filter(({ instance }) =>
      instance.isAlive && instance.membership?.state === "open" &&
      instance.membership.members[0] === instance.id &&
      instance.membership.members.every((id) =>
        this.instances.get(id)?.instance.isAlive === true
      )
    );
  }

  /** Ends the store and all instances. */
  stop(): void {
    for (const server of this.instances.values()) server.kill();
    for (const server of this.plainInstances.values()) server.kill();
    this.storeServer.server.close();
    this.storeServer.server.closeAllConnections();
  }

  #createOptions(
    id: string,
    { zone, coldMs }: { readonly zone: string; readonly coldMs: number },
  ) {
    this.#births += 1;
    const { onArrival } = this.#options;
    return {
      id,
      zone,
      bornAtMs: this.#births,
      coldUntilMs: coldMs === 0 ? 0 : performance.now() + coldMs,
      ...(onArrival === undefined ? {} : { onArrival }),
    };
  }

  async #announce(server: FakeHttpInstance): Promise<void> {
    const address = await listen(server.server);
    const { resolveListedAddress: announce } = this.#options;
    const announced = await announce?.(server.id, address) ?? address;
    this.#addresses.set(server.id, announced);
    this.#publish(server);
  }

  #publish(server: FakeHttpInstance): void {
    const address = this.#addresses.get(server.id);
    if (address === undefined || !server.isAlive) return;
    this.storeServer.store.append(INSTANCES_TOPIC, {
      key: server.id,
      value: Buffer.from(server.describe(address)),
    });
  }
}

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}
