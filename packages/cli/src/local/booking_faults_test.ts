import { expect } from "earl";
import { after, before, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { applyDemoConfig, DEMO_API_KEY } from "./demo_config.ts";
import {
  type LocalCluster,
  type LocalEntry,
  startLocalCluster,
} from "./start_local_cluster.ts";
import { waitUntil } from "./wait_until.ts";

const BOOKING_COUNT = 150;
const BOOKING_INTERVAL_MS = 40;
const ATTEMPT_TIMEOUT_MS = 800;
const MAX_ATTEMPTS = 12;
const STALL_MS = 2_500;

interface Run {
  readonly key: string;
  readonly requestId: string;
}

interface Attempt {
  readonly key: string;
  readonly requestId: string | null;
  readonly status: number;
  readonly outcome: string | null;
}

let cluster: LocalCluster;

before(async () => {
  cluster = await startLocalCluster({
    entryFlags: ["--max-clock-error-ms", "100", "--claim-dispatch-ms", "1000"],
  });
  await applyDemoConfig(cluster, { author: "test" });
  await waitUntil("every entry instance accepts a booking", {
    timeoutMs: 20_000,
    check: async () => {
      const attempts = await Promise.all(
        cluster.entries.map((each) =>
          book(each, `${Date.now()}-warm-${each.instanceId}`)
        ),
      );
      return attempts.every((attempt) => attempt?.status === 201);
    },
  });
});

after(() => cluster?.stop());

it("runs no booking twice while entry instances are killed or stalled", async () => {
  await Promise.all(
    cluster.plainBackends.map(({ instance }) =>
      fetch(`http://${instance.address}/faults`, {
        method: "POST",
        body: JSON.stringify({ delayMs: 60 }),
      })
    ),
  );
  const attempts: Attempt[] = [];
  const callers = Array.from(
    { length: BOOKING_COUNT },
    (_, index) => retryBooking(index, attempts),
  );
  await killAndStallEntries(cluster.entries);
  await Promise.all(callers);

  const runs = await listRuns();
  const runCounts = new Map<string, number>();
  for (const { key } of runs) {
    runCounts.set(key, (runCounts.get(key) ?? 0) + 1);
  }
  expect([...runCounts.values()].filter((count) => count > 1)).toEqual([]);
  for (const { key, requestId, outcome, status } of attempts) {
    if (status === 201) expect(runCounts.get(key)).toEqual(1);
    if (outcome !== "not-run") continue;
    expect(runs.some((run) => run.requestId === requestId)).toEqual(false);
  }
  const booked = attempts.filter(({ status }) => status === 201);
  expect(booked.length > BOOKING_COUNT / 2).toEqual(true);
  expect(attempts.length > BOOKING_COUNT).toEqual(true);
});

it("answers every duplicate of a booking in progress with its result", async () => {
  const key = `${Date.now()}-duplicates`;
  const attempts = await Promise.all(
    cluster.entries.flatMap((entry) => [book(entry, key), book(entry, key)]),
  );
  expect(attempts.map((attempt) => attempt?.status)).toEqual(
    Array.from({ length: 6 }, () => 201),
  );
  const runs = await listRuns();
  expect(runs.filter((run) => run.key === key).length).toEqual(1);
});

it("refuses a duplicate whose stored answer was too large to keep", async () => {
  const key = `${Date.now()}-large`;
  const [entry] = cluster.entries;
  const large = { slot: "08:00", note: "x".repeat(20_000) };
  expect((await book(entry!, key, large))?.status).toEqual(201);
  const duplicate = await book(entry!, key, large);
  expect(duplicate?.status).toEqual(409);
  expect(duplicate?.outcome).toEqual("ran");
});

it("refuses a key that was used for another booking", async () => {
  const key = `${Date.now()}-reused`;
  const [first, second] = cluster.entries;
  expect((await book(first!, key))?.status).toEqual(201);
  const other = await book(second!, key, { slot: "09:00" });
  expect(other?.status).toEqual(422);
  expect(other?.outcome).toEqual("not-run");
});

it("refuses bookings in a log outage but still serves reads", async () => {
  const key = `${Date.now()}-outage`;
  const [first, second] = cluster.entries;
  const setLogFaults = (faults: object) =>
    fetch(`${cluster.logUrl}/faults`, {
      method: "POST",
      body: JSON.stringify(faults),
    });
  await setLogFaults({ isOut: true });
  const refused = await book(first!, key);
  const read = await fetch(
    `http://${first!.address}/services/slotbook/bookings`,
    { headers: { authorization: `Bearer ${DEMO_API_KEY}` } },
  );
  await setLogFaults({});
  expect([refused?.status, refused?.outcome]).toEqual([503, "not-run"]);
  expect(read.status).toEqual(200);
  expect((await listRuns()).some((run) => run.key === key)).toEqual(false);
  expect((await book(second!, key))?.status).toEqual(201);
});

async function killAndStallEntries(
  entries: readonly LocalEntry[],
): Promise<void> {
  const [first, second, third] = entries;
  await sleep(1_000);
  await kill(first!);
  await sleep(500);
  second!.process.child.kill("SIGSTOP");
  await sleep(STALL_MS);
  second!.process.child.kill("SIGCONT");
  await sleep(500);
  await kill(third!);
}

async function kill(entry: LocalEntry): Promise<void> {
  await entry.process.stop("SIGKILL");
  entry.restart();
}

/** Retries one booking, each time through the next entry instance. */
async function retryBooking(index: number, attempts: Attempt[]): Promise<void> {
  await sleep(index * BOOKING_INTERVAL_MS);
  const key = `${Date.now()}-booking-${index}`;
  for (let attemptIndex = 0; attemptIndex < MAX_ATTEMPTS; attemptIndex++) {
    const entry = cluster
      .entries[(index + attemptIndex) % cluster.entries.length]!;
    const attempt = await book(entry, key);
    attempts.push(
      attempt ?? { key, requestId: null, status: 0, outcome: null },
    );
    if (attempt?.status === 201) return;
    await sleep(200);
  }
}

/** Sends one booking; undefined if no answer came in time. */
async function book(
  entry: LocalEntry,
  key: string,
  booking: object = { slot: "08:00" },
): Promise<Attempt | undefined> {
  const url = `http://${entry.address}/services/slotbook/bookings`;
  try {
    const response = await fetch(url, {
      method: "POST",
      signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      headers: {
        authorization: `Bearer ${DEMO_API_KEY}`,
        "content-type": "application/json",
        "idempotency-key": key,
      },
      body: JSON.stringify(booking),
    });
    await response.arrayBuffer();
    return {
      key,
      requestId: response.headers.get("x-request-id"),
      status: response.status,
      outcome: response.headers.get("celerytray-outcome"),
    };
  } catch {
    return undefined;
  }
}

async function listRuns(): Promise<Run[]> {
  const runs = await Promise.all(
    cluster.plainBackends.map(async ({ instance }) => {
      const response = await fetch(`http://${instance.address}/runs`);
      const body = await response.json() as { readonly runs: Run[] };
      return body.runs;
    }),
  );
  return runs.flat();
}
