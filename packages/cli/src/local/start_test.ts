import { FakePlatform } from "@celerytray/fakes";
import { expect } from "earl";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { after, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { awaitSignalHandlers } from "./await_signal_handlers.ts";
import { findFreeAddresses } from "./free_addresses.ts";
import { type HostProcess, startHostProcess } from "./host_process.ts";
import { HOST_PROGRAM, WAIT_OPTIONS } from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

const SETTLE_MS = 300;
const cleanups: (() => unknown)[] = [];

after(async () => {
  for (const close of cleanups.reverse()) await close();
});

describe("a host process that starts", () => {
  // Guards against a SIGHUP that ends a process which is still being loaded.
  it("lives on after a SIGHUP that comes before it serves", async () => {
    const started = await start();
    await awaitSignalHandlers(started.child.pid);
    expect(countEvents(started, "process.started")).toEqual(0);
    started.child.kill("SIGHUP");
    await awaitEvent(started, "process.reloaded");
    expect(countEvents(started, "process.started")).toEqual(1);
  });

  // Guards against a process that is asked to stop while it is being loaded,
  // and starts to serve or ends as if it had failed.
  it("ends without serving after a SIGTERM that comes before it serves", async () => {
    const started = await start();
    await awaitSignalHandlers(started.child.pid);
    const exited = once(started.child, "exit");
    started.child.kill("SIGTERM");
    expect(await exited).toEqual([0, null]);
    expect(countEvents(started, "process.started")).toEqual(0);
  });

  // Guards against a process that ends for good because its predecessor still
  // holds one of its addresses.
  it("waits for an address that another process holds", async () => {
    const addresses = await findFreeAddresses(4);
    for (const address of addresses) {
      const holder = await hold(address);
      const started = await start(addresses);
      await awaitEvent(started, "process.waiting");
      await sleep(SETTLE_MS);
      expect(started.child.exitCode).toEqual(null);
      holder.close();
      await awaitEvent(started, "process.started");
      const exited = once(started.child, "exit");
      started.child.kill("SIGKILL");
      await exited;
    }
  });

  it("ends if it is asked to stop while it waits for an address", async () => {
    const addresses = await findFreeAddresses(4);
    const holder = await hold(addresses[1]!);
    const started = await start(addresses);
    await awaitEvent(started, "process.waiting");
    const exited = once(started.child, "exit");
    started.child.kill("SIGTERM");
    expect(await exited).toEqual([0, null]);
    holder.close();
  });

  it("ends at once if an address can't be its own", async () => {
    const [, ...others] = await findFreeAddresses(4);
    // A documentation address, which no machine has.
    const started = await start(["192.0.2.1:9000", ...others]);
    expect(await once(started.child, "exit")).toEqual([2, null]);
  });
});

async function start(addresses?: readonly string[]): Promise<HostProcess> {
  const platform = new FakePlatform();
  cleanups.push(() => platform.stop());
  const started = await startHostProcess({
    nodeId: "front-1",
    storeAddress: await platform.start(),
    program: HOST_PROGRAM,
    ...(addresses === undefined ? {} : { addresses }),
  });
  cleanups.push(started.remove);
  return started;
}

async function hold(address: string): Promise<Server> {
  const [host, port] = address.split(":");
  const server = createServer().listen(Number(port), host);
  await once(server, "listening");
  cleanups.push(() => server.close());
  return server;
}

function awaitEvent(process: HostProcess, event: string): Promise<void> {
  return waitUntil(event, {
    ...WAIT_OPTIONS,
    check: () => Promise.resolve(countEvents(process, event) > 0),
  });
}

function countEvents({ log }: HostProcess, event: string): number {
  return log().split(`"event":"${event}"`).length - 1;
}
