import type { EngineStatus, LogReadAnswer } from "@celerytray/schema";
import type { ReplicaDescription } from "celerytray";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { applyDemoConfig, DEMO_API_KEY } from "./demo_config.ts";
import {
  type LocalBackend,
  type LocalCluster,
  type LocalEntry,
  startLocalCluster,
} from "./start_local_cluster.ts";
import { waitUntil } from "./wait_until.ts";

/** Two and a half status intervals, each 1 s by default. */
const DETECTION_TIMEOUT_MS = 2_500;
const REPAIR_TIMEOUT_MS = 20_000;

for (const ignoresFencing of [false, true]) {
  const engines = ignoresFencing ? "ignore" : "check";
  describe(`replicas whose engines ${engines} fencing numbers`, () => {
    let cluster: LocalCluster;
    let callers: Callers;

    before(async () => {
      cluster = await startLocalCluster({
        enginesPerDomain: 5,
        ignoresFencing,
      });
      await applyDemoConfig(cluster, { author: "test" });
      await waitUntilReady(cluster);
      callers = startCallers(cluster.entries);
    });

    after(async () => {
      await callers?.stop();
      await cluster?.stop();
    });

    it("get no more requests soon after a member dies and are repaired by a spare", async () => {
      const [replica] = await listReplicas(cluster);
      const victim = findEngine(cluster, replica!.members[1]!);
      const killedAtMs = Date.now();
      await victim.process.stop("SIGKILL");
      await waitForRepair(cluster, replica!);
      await waitUntilReady(cluster);
      const repairedAtMs = await findRepairTime(cluster, replica!);
      const attempts = await listAttemptTimes(cluster, replica!.replicaId);
      const lateAttempts = attempts.filter((atMs) =>
        atMs > killedAtMs + DETECTION_TIMEOUT_MS && atMs < repairedAtMs
      );
      expect(lateAttempts).toEqual([]);
      const repaired = (await listReplicas(cluster)).find(({ replicaId }) =>
        replicaId === replica!.replicaId
      )!;
      expect(
        repaired.members.filter((member) => replica!.members.includes(member)),
      ).toEqual(replica!.members.filter((_, rank) => rank !== 1));
    });

    it("recover from a stale order and get no requests meanwhile", async () => {
      const [, replica] = await listReplicas(cluster);
      const member = findEngine(cluster, replica!.members[1]!);
      const { status } = await post(`${baseUrl(member)}/orders`, {
        kind: "join",
        fencingNumber: 0,
        replicaId: "drafter/9",
        rank: 0,
        model: "slot-drafter-70b",
        modelVersion: "3",
      });
      expect(status).toEqual(ignoresFencing ? 200 : 409);
      const sentAtMs = Date.now();
      await waitUntil("the member belongs to its own replica again", {
        timeoutMs: REPAIR_TIMEOUT_MS,
        check: async () => {
          const response = await fetch(`${baseUrl(member)}/status`);
          const { assignment } = await response.json() as EngineStatus;
          return assignment?.replicaId === replica!.replicaId;
        },
      });
      const restoredAtMs = Date.now();
      const attempts = await listAttemptTimes(cluster, replica!.replicaId);
      const lateAttempts = attempts.filter((atMs) =>
        atMs > sentAtMs + DETECTION_TIMEOUT_MS && atMs < restoredAtMs
      );
      expect(lateAttempts).toEqual([]);
    });

    it("keep serving in a log outage unless incomplete", async () => {
      await waitUntilReady(cluster);
      await post(`${cluster.logUrl}/faults`, { isOut: true });
      const [other, replica] = await listReplicas(cluster);
      const victim = findEngine(cluster, replica!.members[1]!);
      const killedAtMs = Date.now();
      await victim.process.stop("SIGKILL");
      await waitUntil(
        "every entry instance reports the replica as incomplete",
        {
          timeoutMs: REPAIR_TIMEOUT_MS,
          check: async () => {
            const seen = await listReplicasOfAll(cluster);
            return seen.every((replicas) =>
              replicas.some(({ replicaId, state }) =>
                replicaId === replica!.replicaId && state === "incomplete"
              )
            );
          },
        },
      );
      const brokenAtMs = Date.now();
      await waitUntil("the other replica gets requests in the outage", {
        timeoutMs: REPAIR_TIMEOUT_MS,
        check: async () => {
          const attempts = await listAttemptTimes(cluster, other!.replicaId);
          return attempts.some((atMs) => atMs > brokenAtMs);
        },
      });
      const outageAttempts = await listAttemptTimes(
        cluster,
        replica!.replicaId,
      );
      expect(
        outageAttempts.filter((atMs) =>
          atMs > killedAtMs + DETECTION_TIMEOUT_MS
        ),
      )
        .toEqual([]);
      await post(`${cluster.logUrl}/faults`, {});
      await waitForRepair(cluster, replica!);
    });

    it("gave every caller its own complete answer throughout", async () => {
      const { answers, wrong } = await callers.stop();
      expect(answers > 100).toEqual(true);
      expect(wrong).toEqual([]);
    });
  });
}

interface Callers {
  readonly stop: () => Promise<CallResults>;
}

interface CallResults {
  readonly answers: number;
  /** Answers that were neither complete nor refused as not run. */
  readonly wrong: readonly string[];
}

/** Calls each entry instance in a loop until stopped. */
function startCallers(entries: readonly LocalEntry[]): Callers {
  const state = { isStopped: false, answers: 0, wrong: [] as string[] };
  const loops = entries.map(async (entry, index) => {
    for (let call = 0; !state.isStopped; call++) {
      const content = `call-${index}-${call}`;
      const response = await post(
        `http://${entry.address}/v1/chat/completions`,
        {
          model: "drafter",
          stream: true,
          max_tokens: 2,
          messages: [{ role: "user", content }],
        },
      );
      const text = await response.text();
      const isComplete = text.includes(`${content}-0 `) &&
        text.includes(`${content}-1 `) && text.endsWith("data: [DONE]\n\n");
      const isRefused =
        response.headers.get("celerytray-outcome") === "not-run";
      if (isComplete) state.answers += 1;
      else if (!isRefused) state.wrong.push(`${response.status} ${text}`);
    }
  });
  return {
    stop: async () => {
      state.isStopped = true;
      await Promise.all(loops);
      return { answers: state.answers, wrong: state.wrong };
    },
  };
}

function post(url: string, body: unknown): Promise<Response> {
  return fetch(url, {
    method: "POST",
    headers: { authorization: `Bearer ${DEMO_API_KEY}` },
    body: JSON.stringify(body),
  });
}

function baseUrl({ instance }: LocalBackend): string {
  return `http://${instance.address}`;
}

function findEngine(cluster: LocalCluster, name: string): LocalBackend {
  return cluster.engines.find(({ instance }) => instance.instanceId === name)!;
}

function listReplicasOfAll(
  cluster: LocalCluster,
): Promise<ReplicaDescription[][]> {
  return Promise.all(
    cluster.entries.map((entry) => cluster.admin(entry).replicas.query()),
  );
}

async function listReplicas(
  cluster: LocalCluster,
): Promise<ReplicaDescription[]> {
  const [replicas] = await listReplicasOfAll(cluster);
  return replicas!;
}

function waitUntilReady(cluster: LocalCluster): Promise<void> {
  return waitUntil("both replicas serve on all entry instances", {
    timeoutMs: REPAIR_TIMEOUT_MS,
    check: async () => {
      const seen = await listReplicasOfAll(cluster);
      return seen.every((replicas) =>
        replicas.filter(({ state }) => state === "ready").length === 2
      );
    },
  });
}

function waitForRepair(
  cluster: LocalCluster,
  before: ReplicaDescription,
): Promise<void> {
  return waitUntil("the replica is repaired", {
    timeoutMs: REPAIR_TIMEOUT_MS,
    check: async () => {
      const replicas = await listReplicas(cluster);
      return replicas.every(({ fencingNumber }) =>
        fencingNumber !== before.fencingNumber
      );
    },
  });
}

/** Time at which the log appended the record that replaced a replica, as Unix time. */
async function findRepairTime(
  cluster: LocalCluster,
  { fencingNumber }: ReplicaDescription,
): Promise<number> {
  const url = `${cluster.logUrl}/streams/fleet/records?from=0&limit=1000`;
  const page = await (await fetch(url)).json() as LogReadAnswer;
  const change = page.records.find(({ record }) =>
    (record as { readonly fencingNumber?: number }).fencingNumber ===
      fencingNumber
  );
  return change!.appendedAtMs;
}

/** Times at which any entry instance sent a request to a replica, as Unix time. */
async function listAttemptTimes(
  cluster: LocalCluster,
  replicaId: string,
): Promise<number[]> {
  const timelines = await Promise.all(
    cluster.entries.map((entry) => cluster.admin(entry).timeline.query({})),
  );
  return timelines.flat().filter((event) =>
    event.kind === "attempt.started" && event.replicaId === replicaId
  ).map(({ at }) => at.physicalMs);
}
