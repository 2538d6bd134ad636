import {
  callPlatform,
  createWholeStream,
  fakePaths,
  FakePlatform,
  type PlatformAnswer,
} from "@celerytray/fakes";
import { validateLogEvents } from "@celerytray/schema/log_event_validator";
import { expect } from "earl";
import { once } from "node:events";
import { after, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { type HostProcess, startHostProcess } from "./host_process.ts";
import { waitUntil } from "./wait_until.ts";

const PROGRAM = fileURLToPath(new URL("../host_main.js", import.meta.url));
const WAIT = { timeoutMs: 20_000 };
const GRACE_S = 4;
const MODEL = "m0";
const KEY = "key-1";
const CONFIG = {
  version: 1,
  routes: [{
    name: "drafts",
    host: "a.example",
    path_prefix: "/drafts/",
    kind: "streaming",
    resumable: true,
    max_attempts: 2,
    timeout_ms: 8_000,
    target_latency_ms: 400,
    service: "drafts",
  }],
  services: [{
    name: "drafts",
    engine: {
      slots: 8,
      loads_per_s: 50,
      loads_at_once: 8,
      models: [{ name: MODEL, size: 2, load_s: 0.2, warm_s: 0.1 }],
    },
  }],
  tenants: [{ name: "o", api_keys: [KEY] }],
};
const WHOLE_STREAM = createWholeStream("prompt");
/** Head of a line, beside the fields of its event. */
const LINE_HEAD = new Set(["level", "timeMs", "process", "event"]);
/** Events that the tests before bring about, one of each kind at least. */
const SEEN_EVENTS = [
  "call.ended",
  "config.adopted",
  "lead.followed",
  "lead.taken",
  "order.answered",
  "process.draining",
  "process.started",
  "process.stopped",
  "replica.formed",
  "replica.retired",
  "replica.retiring",
  "store.lost",
  "store.regained",
];
const closers: (() => unknown)[] = [];
/** What the processes of all tests have logged. */
const logs: (() => string)[] = [];

after(async () => {
  for (const close of closers.reverse()) await close();
});

describe("processes on the platform", () => {
  it("form replicas, serve streams and repair after a head's death", async () => {
    const { platform, processes } = await startWorld();
    const answer = await callStream(processes[0]!.address, "call-1");
    expect([answer.status, answer.body]).toEqual([200, WHOLE_STREAM]);
    const before = platform.listServing().length;
    platform.kill(platform.listServing()[0]!.instance.id);
    await waitUntil("the replica to be formed anew", {
      ...WAIT,
      check: () => Promise.resolve(platform.listServing().length === before),
    });
    const later = await callStream(processes[1]!.address, "call-2");
    expect([later.status, later.body]).toEqual([200, WHOLE_STREAM]);
  });

  it("finish what they took before they stop, and leave the lead", async () => {
    const { platform, processes } = await startWorld();
    for (const head of platform.listServing()) head.eventPauseMs = 300;
    const [lead] = await findLeads(processes);
    const others = processes.filter((process) => process !== lead);
    const underWay = callStream(lead!.address, "call-1");
    await waitUntil("the stream to run", {
      ...WAIT,
      check: () =>
        Promise.resolve(
          platform.listServing().some(({ ranIds }) => ranIds.length > 0),
        ),
    });
    const exited = once(lead!.child, "exit");
    lead!.child.kill("SIGTERM");
    const answer = await underWay;
    expect([answer.status, answer.body]).toEqual([200, WHOLE_STREAM]);
    expect(await exited).toEqual([0, null]);
    await waitUntil("another process to lead", {
      ...WAIT,
      check: async () => (await findLeads(others)).length === 1,
    });
    expect((await callStream(others[0]!.address, "call-2")).body)
      .toEqual(WHOLE_STREAM);
  });

  it("refuse as not run once the store is long away, and serve on its return", async () => {
    const { platform, processes } = await startWorld();
    const { store } = platform.storeServer;
    const [{ address }] = processes as [HostProcess];
    store.faults = { isOut: true };
    expect((await callStream(address, "call-1")).status).toEqual(200);
    await waitUntil("requests to be refused", {
      ...WAIT,
      check: async () => (await callStream(address, "call-2")).status === 503,
    });
    store.faults = {};
    await waitUntil("requests to be served", {
      ...WAIT,
      check: async () => (await callStream(address, "call-3")).status === 200,
    });
  });

  it("refuse a key that was taken away, though the lead alone reads it", async () => {
    const { platform, processes } = await startWorld();
    platform.publishConfig({
      ...CONFIG,
      version: 2,
      tenants: [{ name: "o", api_keys: ["key-2"] }],
    });
    for (const { address } of processes) {
      await waitUntil("the key to be refused", {
        ...WAIT,
        check: async () => (await callStream(address, "call-1")).status === 401,
      });
    }
  });

  it("have logged lines as the schema has them, of all that happened", () => {
    const lines = logs.flatMap((read) => listLines(read()));
    const malformed = lines.filter(({ event, fields }) =>
      !validateLogEvents({ [event]: fields })
    );
    expect(malformed).toEqual([]);
    const events = new Set(lines.map(({ event }) => event));
    expect(SEEN_EVENTS.filter((event) => !events.has(event))).toEqual([]);
  });
});

interface LoggedLine {
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The whole lines of a log. */
function listLines(log: string): readonly LoggedLine[] {
  return log.split("\n").slice(0, -1).map((text) => {
    const line = JSON.parse(text) as Readonly<Record<string, unknown>>;
    const fields = Object.entries(line).filter(([name]) =>
      !LINE_HEAD.has(name)
    );
    return { event: String(line.event), fields: Object.fromEntries(fields) };
  });
}

/** Two processes and five instances of one domain, ready to serve. */
async function startWorld() {
  const platform = new FakePlatform();
  closers.push(() => platform.stop());
  const storeAddress = await platform.start();
  platform.publishConfig(CONFIG);
  for (let index = 0; index < 5; index++) {
    await platform.startInstance(`i-${index}`, "d0");
  }
  const processes = [
    await startProcess("front-1", storeAddress),
    await startProcess("front-2", storeAddress),
  ];
  await waitUntil("the replicas to serve and the processes to be ready", {
    ...WAIT,
    check: async () => {
      const statuses = await Promise.all(
        processes.map(({ address }) => callStream(address, "call-0")),
      );
      return platform.listServing().length === 2 &&
        statuses.every(({ status }) => status === 200);
    },
  });
  return { platform, processes };
}

async function startProcess(
  nodeId: string,
  storeAddress: string,
): Promise<HostProcess> {
  const started = await startHostProcess({
    nodeId,
    storeAddress,
    program: PROGRAM,
    settings: { "bounds.grace_s": GRACE_S, "bounds.revoke_ms": 5_000 },
  });
  closers.push(started.remove);
  logs.push(started.log);
  return started;
}

/** Processes that decide on replicas. */
async function findLeads(
  processes: readonly HostProcess[],
): Promise<readonly HostProcess[]> {
  const leads: HostProcess[] = [];
  for (const candidate of processes) {
    const page = await fetch(`http://${candidate.metricsAddress}/metrics`);
    const text = await page.text();
    if (text.includes("celerytray_leads_replicas 1")) leads.push(candidate);
  }
  return leads;
}

function callStream(
  address: string,
  callId: string,
): Promise<PlatformAnswer> {
  return callPlatform({
    address,
    callId,
    path: fakePaths.stream,
    key: KEY,
    prompt: "prompt",
    deadlineMs: 8_000,
    agent: false,
    model: MODEL,
  });
}
