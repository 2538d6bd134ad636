import { HttpInstanceList, HttpLogService, HttpModelEngine } from "celerytray";
import type { EngineStatus, Instance, LogRecord } from "@celerytray/schema";
import {
  findFreeAddresses,
  startLocalProcess,
  waitUntil,
} from "@celerytray/cli";
import { Effect } from "effect";
import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { measureCpuMicroseconds } from "./measure.ts";
import type { SlopeMeasurement } from "./slope.ts";

const READ_CONCURRENCY = 64;
const START_TIMEOUT_MS = 10_000;
const WARM_UP_READS = 2_000;
const READ_REPEATS = 20;

/**
 * Slopes of reads over HTTP, in most cases from a fake in a separate process,
 * and of message sizes.
 */
export const transportSlopes: readonly SlopeMeasurement[] = [
  {
    name: "engine status read",
    per: "reads",
    unit: "processor microseconds",
    sizes: [2_000, 4_000, 8_000],
    measure: measureStatusReads,
  },
  {
    name: "engine status read, both ways",
    per: "reads",
    unit: "bytes",
    sizes: [100, 200, 400],
    measure: measureStatusBytes,
  },
  {
    name: "instance list",
    per: "instances",
    unit: "bytes",
    sizes: [500, 2_000, 8_000],
    measure: (size) => Promise.resolve(measureListBytes(size)),
  },
  {
    name: "record that forms a replica",
    per: "members",
    unit: "bytes",
    sizes: [2, 4, 8],
    measure: (size) => Promise.resolve(measureFormBytes(size)),
  },
  {
    name: "instance list read",
    per: "instances",
    unit: "processor microseconds",
    sizes: [500, 2_000, 8_000],
    measure: measureListRead,
  },
  {
    name: "log records followed",
    per: "records",
    unit: "processor microseconds",
    sizes: [1_000, 2_000, 4_000],
    measure: measureLogRead,
  },
];

interface FakeProcess {
  readonly address: string;
  readonly stop: () => Promise<unknown>;
}

async function startFake(
  kind: string,
  options: { readonly probe: string; readonly flags?: readonly string[] },
): Promise<FakeProcess> {
  const [address] = await findFreeAddresses(1);
  const started = startLocalProcess({
    name: kind,
    program: "celerytray-fake",
    args: [kind, "--address", address!, ...options.flags ?? []],
  });
  await waitUntil(`${kind} answers`, {
    timeoutMs: START_TIMEOUT_MS,
    check: async () => (await fetch(`http://${address}${options.probe}`)).ok,
  });
  return { address: address!, stop: () => started.stop() };
}

async function measureStatusReads(count: number): Promise<number> {
  const fake = await startFake("engine", {
    probe: "/status",
    flags: ["--instance-id", "engine-0"],
  });
  const engine = new HttpModelEngine();
  const readMany = (reads: number) =>
    Effect.runPromise(Effect.forEach(
      Array.from({ length: reads }),
      () => engine.readStatus(fake.address),
      { concurrency: READ_CONCURRENCY, discard: true },
    ));
  await readMany(WARM_UP_READS);
  const used = await measureCpuMicroseconds(() => readMany(count));
  await fake.stop();
  return used;
}

/** Counts the bytes, in both directions, of status reads from an engine that serves. */
async function measureStatusBytes(count: number): Promise<number> {
  const status: EngineStatus = {
    instanceId: "engine-12000",
    bootId: randomUUID(),
    state: "ready",
    runningRequests: 12,
    waitingRequests: 0,
    assignment: {
      replicaId: "drafter/1500",
      fencingNumber: 123_456,
      rank: 7,
      memberCount: 8,
    },
    model: "slot-drafter-70b",
  };
  const sockets = new Set<Socket>();
  const server = createServer((_, response) =>
    response.end(JSON.stringify(status))
  );
  server.on("connection", (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const read = new HttpModelEngine().readStatus(`127.0.0.1:${port}`);
  await Effect.runPromise(Effect.repeat(read, { times: count - 1 }));
  let bytes = 0;
  for (const socket of sockets) {
    bytes += socket.bytesRead + socket.bytesWritten;
  }
  server.close();
  server.closeAllConnections();
  return bytes;
}

function measureListBytes(count: number): number {
  return Buffer.byteLength(JSON.stringify(createInstances(count)));
}

function measureFormBytes(memberCount: number): number {
  const members = createInstances(memberCount).map((each) => each.instanceId);
  const record = {
    kind: "form",
    recordId: randomUUID(),
    service: "drafter",
    slot: 1_500,
    members,
    proposer: "entry-100",
  };
  return Buffer.byteLength(JSON.stringify(record));
}

function createInstances(count: number): Instance[] {
  return Array.from({ length: count }, (_, index) => ({
    instanceId: `engine-${index}`,
    role: "engine",
    address: `127.0.0.1:${index}`,
    availabilityZone: "zone-a",
    fabricDomain: `fabric-${Math.floor(index / 64)}`,
    state: "live",
  }));
}

async function measureListRead(count: number): Promise<number> {
  const fake = await startFake("instances", { probe: "/instances" });
  const instances = createInstances(count);
  await fetch(`http://${fake.address}/instances`, {
    method: "PUT",
    body: JSON.stringify({ instances }),
  });
  const list = new HttpInstanceList({ url: `http://${fake.address}` });
  const readMany = () =>
    Effect.runPromise(
      Effect.repeat(list.read(), { times: READ_REPEATS - 1 }),
    );
  await readMany();
  const used = await measureCpuMicroseconds(readMany);
  await fake.stop();
  return used / READ_REPEATS;
}

async function measureLogRead(count: number): Promise<number> {
  const fake = await startFake("log", {
    probe: "/streams/fleet/records",
  });
  const log = new HttpLogService({ url: `http://${fake.address}` });
  const records: LogRecord[] = Array.from({ length: count }, (_, slot) => ({
    kind: "dissolve",
    recordId: `dissolve-${slot}`,
    service: "drafter",
    slot,
    fencingNumber: slot,
    reason: "measured",
    proposer: "entry-0",
  }));
  await Effect.runPromise(log.append("fleet", records));
  const read = log.read("fleet", { fromOffset: 0, limit: count });
  const readMany = () =>
    Effect.runPromise(Effect.repeat(read, { times: READ_REPEATS - 1 }));
  await readMany();
  const used = await measureCpuMicroseconds(readMany);
  await fake.stop();
  return used / READ_REPEATS;
}
