import type { Instance } from "@celerytray/schema";
import { type AdminClient, createAdminClient } from "celerytray";
import { type LocalProcess, startLocalProcess } from "./local_process.ts";
import {
  type ClusterPlan,
  type LocalClusterOptions,
  planCluster,
} from "./plan_cluster.ts";
import { waitUntil } from "./wait_until.ts";

/** An entry instance of a local cluster. */
export interface LocalEntry {
  readonly instanceId: string;
  readonly address: string;
  readonly adminAddress: string;
  process: LocalProcess;
  /** Starts it anew after its end. */
  readonly restart: () => void;
}

/** A backend server of a local cluster. */
export interface LocalBackend {
  readonly instance: Instance;
  readonly process: LocalProcess;
}

/** A cluster of separate processes on loopback addresses. */
export interface LocalCluster {
  readonly logUrl: string;
  readonly log: LocalProcess;
  readonly entries: readonly LocalEntry[];
  readonly engines: readonly LocalBackend[];
  readonly plainBackends: readonly LocalBackend[];
  readonly processCount: () => number;
  /** Publishes the list of instances. */
  readonly setInstances: (instances: readonly Instance[]) => Promise<void>;
  readonly instances: () => readonly Instance[];
  readonly admin: (entry: LocalEntry) => AdminClient;
  readonly stop: () => Promise<void>;
}

/** Token of the operator of a local cluster. */
export const LOCAL_OPERATOR_TOKEN = "local-operator-token";

const LOCAL_SECRETS = {
  CELERYTRAY_OPERATOR_TOKEN: LOCAL_OPERATOR_TOKEN,
  CELERYTRAY_PEER_SECRET: "local-peer-secret-0",
};
const START_TIMEOUT_MS = 30_000;
/** Starts a cluster and waits until every process answers. */
export async function startLocalCluster(
  options: LocalClusterOptions = {},
): Promise<LocalCluster> {
  const plan = await planCluster(options);
  const processes: LocalProcess[] = [];
  const start = (started: LocalProcess): LocalProcess => {
    processes.push(started);
    return started;
  };
  process.once("exit", () => {
    for (const { child } of processes) child.kill("SIGKILL");
  });
  const log = start(startFake("log", {
    kind: "log",
    address: plan.logAddress,
  }));
  start(startFake("instance-list", {
    kind: "instances",
    address: plan.listAddress,
  }));
  const engines = plan.engines.map((instance) => ({
    instance,
    process: start(startEngine(instance, options)),
  }));
  const plains = plan.plains.map((instance) => ({
    instance,
    process: start(startFake(instance.instanceId, {
      kind: "plain",
      address: instance.address,
      flags: ["--instance-id", instance.instanceId],
    })),
  }));
  const entries = plan.entries.map((instance) =>
    createLocalEntry(instance, { plan, options, start })
  );
  let instances: readonly Instance[] = [
    ...plan.entries,
    ...plan.engines,
    ...plan.plains,
  ];
  const setInstances = async (next: readonly Instance[]) => {
    instances = next;
    await putInstances(plan.listAddress, next);
  };
  const stop = async () => {
    await Promise.all(processes.map((process) => process.stop("SIGKILL")));
  };
  try {
    await waitForStart(plan, { processes, instances });
  } catch (error) {
    await stop();
    throw error;
  }
  return {
    logUrl: `http://${plan.logAddress}`,
    log,
    entries,
    engines,
    plainBackends: plains,
    processCount: () => processes.length,
    setInstances,
    instances: () => instances,
    admin: ({ adminAddress }) =>
      createAdminClient({ address: adminAddress, token: LOCAL_OPERATOR_TOKEN }),
    stop,
  };
}

interface FakeDescription {
  readonly kind: "log" | "instances" | "engine" | "plain";
  readonly address: string;
  readonly flags?: readonly string[];
}

function startFake(name: string, fake: FakeDescription): LocalProcess {
  return startLocalProcess({
    name,
    program: "celerytray-fake",
    args: [fake.kind, "--address", fake.address, ...fake.flags ?? []],
  });
}

function startEngine(
  instance: Instance,
  options: LocalClusterOptions,
): LocalProcess {
  const flags = ["--instance-id", instance.instanceId];
  if (options.ignoresFencing === true) flags.push("--ignores-fencing");
  if (options.tokenIntervalMs !== undefined) {
    flags.push("--token-interval-ms", String(options.tokenIntervalMs));
  }
  return startFake(instance.instanceId, {
    kind: "engine",
    address: instance.address,
    flags,
  });
}

interface EntryStart {
  readonly plan: ClusterPlan;
  readonly options: LocalClusterOptions;
  readonly start: (process: LocalProcess) => LocalProcess;
}

function createLocalEntry(
  instance: Instance & { readonly adminAddress: string },
  context: EntryStart,
): LocalEntry {
  const { instanceId, address, adminAddress } = instance;
  const startProcess = () => context.start(startEntry(instance, context));
  const entry: LocalEntry = {
    instanceId,
    address,
    adminAddress,
    process: startProcess(),
    restart: () => {
      entry.process = startProcess();
    },
  };
  return entry;
}

function startEntry(
  instance: Instance & { readonly adminAddress: string },
  { plan, options }: EntryStart,
): LocalProcess {
  return startLocalProcess({
    name: instance.instanceId,
    program: "celerytray",
    environment: { ...LOCAL_SECRETS, ...options.entryEnvironment },
    args: [
      "serve",
      "--instance-id",
      instance.instanceId,
      "--availability-zone",
      instance.availabilityZone,
      "--listen-address",
      instance.address,
      "--admin-address",
      instance.adminAddress,
      "--log-url",
      `http://${plan.logAddress}`,
      "--instance-list-url",
      `http://${plan.listAddress}`,
      "--claim-undated-keys",
      "accept",
      ...options.entryFlags ?? [],
    ],
  });
}

async function putInstances(
  listAddress: string,
  instances: readonly Instance[],
): Promise<void> {
  await fetch(`http://${listAddress}/instances`, {
    method: "PUT",
    body: JSON.stringify({ instances }),
  });
}

interface Starting {
  readonly processes: readonly LocalProcess[];
  readonly instances: readonly Instance[];
}

async function waitForStart(
  plan: ClusterPlan,
  starting: Starting,
): Promise<void> {
  const failed = () =>
    starting.processes.find(({ child }) => child.exitCode !== null);
  await waitUntil("every process answers", {
    timeoutMs: START_TIMEOUT_MS,
    check: async () => {
      const ended = failed();
      if (ended !== undefined) return true;
      await putInstances(plan.listAddress, starting.instances);
      const urls = [
        `http://${plan.logAddress}/streams/config/records`,
        ...plan.entries.map(({ address }) => `http://${address}/livez`),
        ...plan.engines.map(({ address }) => `http://${address}/status`),
        ...plan.plains.map(({ address }) => `http://${address}/runs`),
      ];
      const answers = await Promise.all(urls.map((url) => fetch(url)));
      return answers.every(({ ok }) => ok);
    },
  });
  const ended = failed();
  if (ended !== undefined) {
    throw new Error(`${ended.name} ended at its start: ${ended.errors()}`);
  }
}
