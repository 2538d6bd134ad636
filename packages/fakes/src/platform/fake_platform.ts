import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { FakeInstanceServer } from "./fake_instance_server.ts";
import { FakeStoreServer } from "./fake_store_server.ts";

const HOST = "127.0.0.1";
const CONFIG_TOPIC = "keyed.op";
const CONFIG_KEY = "config";
const INSTANCES_TOPIC = "keyed.servers";
const MISSED_PINGS_MS = 300;

/** The users' platform on loopback: a store and model instances over HTTP. */
export class FakePlatform {
  readonly storeServer = new FakeStoreServer();
  readonly instances = new Map<string, FakeInstanceServer>();

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

  /** Starts a model instance that keeps its entry in the list. */
  async startInstance(id: string, domain: string): Promise<void> {
    let address = "";
    const server = new FakeInstanceServer({
      id,
      domain,
      onChange: () => this.#publish(id, server.describe(address)),
    });
    address = await listen(server.server);
    this.instances.set(id, server);
    this.#publish(id, server.describe(address));
  }

  /** Ends an instance; its entry leaves the list once its pings are missed. */
  kill(id: string): void {
    this.instances.get(id)?.kill();
    setTimeout(() => {
      this.storeServer.store.append(INSTANCES_TOPIC, { key: id });
    }, MISSED_PINGS_MS).unref();
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
    for (const instance of this.instances.values()) instance.kill();
    this.storeServer.server.close();
    this.storeServer.server.closeAllConnections();
  }

  #publish(id: string, entry: string): void {
    this.storeServer.store.append(INSTANCES_TOPIC, {
      key: id,
      value: Buffer.from(entry),
    });
  }
}

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}
