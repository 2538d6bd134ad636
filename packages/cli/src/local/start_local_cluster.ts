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
  /** Starts a new process on the same addresses after this one has exited. */
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
  /** Replaces the instance list. */
  readonly setInstances: (instances: readonly Instance[]) => Promise<void>;
  readonly instances: () => readonly Instance[];
  readonly admin: (entry: LocalEntry) => AdminClient;
  readonly stop: () => Promise<void>;
}

/** Operator token of a local cluster. */
export const LOCAL_OPERATOR_TOKEN = "local-operator-token";

const LOCAL_SECRETS = {
  CELERYTRAY_OPERATOR_TOKEN: LOCAL_OPERATOR_TOKEN,
  CELERYTRAY_PEER_SECRET: "local-peer-secret-0",
};
const START_TIMEOUT_MS = 30_000;

/**
 * Starts a cluster and waits until every process answers. Fails if a process
 * exits at startup.
 */
export async function startLocalCluster(
  options: LocalClusterOptions = {},
): Promise<LocalCluster> {
  const plan = await planCluster(options);
  const processes: LocalProcess[] = [];
  const trackProcess = (started: LocalProcess): LocalProcess => {
    processes.push(started);
    return started;
  };
  process.once("exit", () => {
    for (const { child } of processes) child.kill("SIGKILL");
  });
  const log = trackProcess(startFake("log", {
    kind: "log",
    address: plan.logAddress,
  }));
  trackProcess(startFake("instance-list", {
    kind: "instances",
    address: plan.instanceListAddress,
  }));
  const engines = plan.engines.map((instance) => ({
    instance,
    process: trackProcess(startEngine(instance, options)),
  }));
  const plainBackends = plan.plainBackends.map((instance) => ({
    instance,
    process: trackProcess(startFake(instance.instanceId, {
      kind: "plain",
      address: instance.address,
      flags: ["--instance-id", instance.instanceId],
    })),
  }));
  const entries = plan.entries.map((instance) =>
    createLocalEntry(instance, { plan, options, trackProcess })
  );
  let instances: readonly Instance[] = [
    ...plan.entries,
    ...plan.engines,
    ...plan.plainBackends,
  ];
  const setInstances = async (next: readonly Instance[]) => {
    instances = next;
    await putInstances(plan.instanceListAddress, next);
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
    plainBackends,
    processCount: () => processes.length,
    setInstances,
    instances: () => instances,
    admin: ({ adminAddress }) =>
      createAdminClient({ address: adminAddress, token: LOCAL_OPERATOR_TOKEN }),
    stop,
  };
}

interface FakeOptions {
  readonly kind: "log" | "instances" | "engine" | "plain";
  readonly address: string;
  readonly flags?: readonly string[];
}

function startFake(name: string, fake: FakeOptions): LocalProcess {
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

interface EntryContext {
  readonly plan: ClusterPlan;
  readonly options: LocalClusterOptions;
  readonly trackProcess: (process: LocalProcess) => LocalProcess;
}

function createLocalEntry(
  instance: Instance & { readonly adminAddress: string },
  context: EntryContext,
): LocalEntry {
  const { instanceId, address, adminAddress } = instance;
  const startProcess = () =>
    context.trackProcess(startEntry(instance, context));
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
  { plan, options }: EntryContext,
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
      `http://${plan.instanceListAddress}`,
      "--claim-undated-keys",
      "accept",
      ...options.entryFlags ?? [],
    ],
  });
}

async function putInstances(
  instanceListAddress: string,
  instances: readonly Instance[],
): Promise<void> {
  await fetch(`http://${instanceListAddress}/instances`, {
    method: "PUT",
    body: JSON.stringify({ instances }),
  });
}

interface StartingCluster {
  readonly processes: readonly LocalProcess[];
  readonly instances: readonly Instance[];
}

async function waitForStart(
  plan: ClusterPlan,
  starting: StartingCluster,
): Promise<void> {
  const findExitedProcess = () =>
    starting.processes.find(({ child }) => child.exitCode !== null);
  await waitUntil("every process answers", {
    timeoutMs: START_TIMEOUT_MS,
    check: async () => {
      const exitedProcess = findExitedProcess();
      if (exitedProcess !== undefined) return true;
      await putInstances(plan.instanceListAddress, starting.instances);
      const urls = [
        `http://${plan.logAddress}/streams/config/records`,
        ...plan.entries.map(({ address }) => `http://${address}/livez`),
        ...plan.engines.map(({ address }) => `http://${address}/status`),
        ...plan.plainBackends.map(({ address }) => `http://${address}/runs`),
      ];
      const answers = await Promise.all(urls.map((url) => fetch(url)));
      return answers.every(({ ok }) => ok);
    },
  });
  const exitedProcess = findExitedProcess();
  if (exitedProcess !== undefined) {
    throw new Error(
      `${exitedProcess.name} exited at startup: ${exitedProcess.stderr()}`,
    );
  }
}
