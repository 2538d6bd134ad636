import { once } from "node:events";
import {
  LOCAL_OPERATOR_TOKEN,
  type LocalCluster,
  type LocalEntry,
} from "../local/start_local_cluster.ts";
import {
  applyDemoConfig,
  DEMO_API_KEY,
  waitUntilReplicasReady,
} from "../local/demo_config.ts";

/**
 * Sends example requests to a cluster and prints what happens to them. Fails if
 * an answer is incomplete or a booking does not run exactly once.
 */
export async function runDemo(
  cluster: LocalCluster,
  options: { readonly staysRunning: boolean },
): Promise<void> {
  print(
    `Started ${cluster.processCount()} processes: a log service, an instance list, ${cluster.entries.length} entry instances, ${cluster.engines.length} model engines and ${cluster.plainBackends.length} instances of a plain service.`,
  );
  await publishDemoConfig(cluster);
  await waitUntilReplicasReady(cluster);
  await describeReplicas(cluster);
  await streamDraft(cluster.entries[1]!);
  await bookTwice(cluster);
  if (options.staysRunning) await keepRunning(cluster);
  print("Stopping every process that was started.");
}

async function publishDemoConfig(cluster: LocalCluster): Promise<void> {
  const version = await applyDemoConfig(cluster, { author: "demo" });
  const { instanceId } = cluster.entries[0]!;
  print(
    `Published examples/demo through ${instanceId}: version ${version} is in force.`,
  );
}

async function describeReplicas(cluster: LocalCluster): Promise<void> {
  const replicas = await cluster.admin(cluster.entries[0]!).replicas.query();
  for (const replica of replicas) {
    print(
      `Replica ${replica.replicaId} serves with fencing number ${replica.fencingNumber}: ${
        replica.members.join(", ")
      }.`,
    );
  }
}

async function streamDraft(entry: LocalEntry): Promise<void> {
  print(`Requesting a streamed draft from ${entry.instanceId}:`);
  const response = await fetch(`http://${entry.address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${DEMO_API_KEY}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: "drafter",
      stream: true,
      max_tokens: 12,
      messages: [{ role: "user", content: "Offer a delivery slot" }],
    }),
  });
  const text = await response.text();
  const tokens = [...text.matchAll(/^data: (\{.*\})$/gm)].map((match) =>
    parseToken(match[1]!)
  );
  print(`  ${tokens.join("")}`);
  const isComplete = text.endsWith("data: [DONE]\n\n") && tokens.length === 12;
  if (!isComplete) throw new Error(`Incomplete answer: ${text}`);
  print(
    `  ${tokens.length} tokens, ended by [DONE]; request ${
      response.headers.get("x-request-id")
    }.`,
  );
}

function parseToken(data: string): string {
  const chunk = JSON.parse(data) as {
    readonly choices: readonly {
      readonly delta: { readonly content: string };
    }[];
  };
  return chunk.choices[0]!.delta.content;
}

async function bookTwice(cluster: LocalCluster): Promise<void> {
  print(
    "Booking a slot through one entry instance, and again with the same Idempotency-Key through another:",
  );
  for (const entry of cluster.entries.slice(0, 2)) {
    const response = await fetch(
      `http://${entry.address}/services/slotbook/bookings`,
      {
        method: "POST",
        headers: {
          authorization: `Bearer ${DEMO_API_KEY}`,
          "content-type": "application/json",
          "idempotency-key": "booking-1",
        },
        body: JSON.stringify({ slot: "08:00", lane: "Asan" }),
      },
    );
    print(
      `  ${entry.instanceId} answered ${response.status}: ${await response
        .text()}`,
    );
  }
  const runs = await Promise.all(
    cluster.plainBackends.map(({ instance }) => countRuns(instance.address)),
  );
  const total = runs.reduce((sum, count) => sum + count, 0);
  print(`  The service ran it ${total} time(s).`);
  if (total !== 1) throw new Error("The booking did not run exactly once");
}

async function countRuns(address: string): Promise<number> {
  const response = await fetch(`http://${address}/runs`);
  const body = await response.json() as { readonly runs: readonly unknown[] };
  return body.runs.length;
}

async function keepRunning(cluster: LocalCluster): Promise<void> {
  const entry = cluster.entries[0]!;
  print(`Still running; stop it with Ctrl-C. Try:

  curl -N http://${entry.address}/v1/chat/completions \\
    -H 'authorization: Bearer ${DEMO_API_KEY}' -H 'content-type: application/json' \\
    -d '{"model":"drafter","stream":true,"messages":[{"role":"user","content":"Offer a slot"}]}'

  curl http://${entry.address}/services/slotbook/bookings -X POST \\
    -H 'authorization: Bearer ${DEMO_API_KEY}' -H 'idempotency-key: booking-2' -d '{"slot":"09:00"}'

  export CELERYTRAY_ADDRESS=${entry.adminAddress} CELERYTRAY_TOKEN=${LOCAL_OPERATOR_TOKEN}
  npx celerytray status
  npx celerytray replicas
`);
  await Promise.race([once(process, "SIGINT"), once(process, "SIGTERM")]);
}

function print(text: string): void {
  console.log(text);
}
