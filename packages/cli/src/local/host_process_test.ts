import { callStream, COMPLETE_STREAM, STREAM_CONFIG } from "@celerytray/fakes";
import { validateLogEvents } from "@celerytray/schema/log_event_validator";
import { expect } from "earl";
import { once } from "node:events";
import { describe, it } from "node:test";
import type { HostProcess } from "./host_process.ts";
import {
  findLeaders,
  processLogs,
  startHostCluster,
  WAIT_OPTIONS,
} from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

/** Fields of every log line, in addition to those of its event. */
const COMMON_FIELDS = new Set(["level", "timeMs", "process", "event"]);
/** Events that the preceding tests cause at least once. */
const EXPECTED_EVENTS = [
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
describe("host processes", () => {
  it("form replicas, serve streams and repair a replica whose head died", async () => {
    const { platform, processes } = await startHostCluster();
    const answer = await callStream(processes[0]!.address, "call-1");
    expect([answer.status, answer.body]).toEqual([200, COMPLETE_STREAM]);
    const before = platform.listServing().length;
    platform.kill(platform.listServing()[0]!.instance.id);
    await waitUntil("the replica is formed again", {
      ...WAIT_OPTIONS,
      check: () => Promise.resolve(platform.listServing().length === before),
    });
    const laterAnswer = await callStream(processes[1]!.address, "call-2");
    expect([laterAnswer.status, laterAnswer.body]).toEqual([
      200,
      COMPLETE_STREAM,
    ]);
  });

  it("complete accepted requests before they stop, and give up leadership", async () => {
    const { platform, processes } = await startHostCluster();
    for (const head of platform.listServing()) head.eventPauseMs = 300;
    const [leader] = await findLeaders(processes);
    const others = processes.filter((process) => process !== leader);
    const inFlight = callStream(leader!.address, "call-1");
    await waitUntil("the stream runs", {
      ...WAIT_OPTIONS,
      check: () =>
        Promise.resolve(
          platform.listServing().some(({ executedCallIds: ranIds }) =>
            ranIds.length > 0
          ),
        ),
    });
    const exited = once(leader!.child, "exit");
    leader!.child.kill("SIGTERM");
    const answer = await inFlight;
    expect([answer.status, answer.body]).toEqual([200, COMPLETE_STREAM]);
    expect(await exited).toEqual([0, null]);
    await waitUntil("another process is the leader", {
      ...WAIT_OPTIONS,
      check: async () => (await findLeaders(others)).length === 1,
    });
    expect((await callStream(others[0]!.address, "call-2")).body)
      .toEqual(COMPLETE_STREAM);
  });

  it("refuse requests as not run in a long store outage, and serve again afterwards", async () => {
    const { platform, processes } = await startHostCluster();
    const { store } = platform.storeServer;
    const [{ address }] = processes as [HostProcess];
    store.faults = { isOut: true };
    expect((await callStream(address, "call-1")).status).toEqual(200);
    await waitUntil("requests are refused", {
      ...WAIT_OPTIONS,
      check: async () => (await callStream(address, "call-2")).status === 503,
    });
    store.faults = {};
    await waitUntil("requests are served", {
      ...WAIT_OPTIONS,
      check: async () => (await callStream(address, "call-3")).status === 200,
    });
  });

  it("refuse a revoked key, although only the leader reads the configuration", async () => {
    const { platform, processes } = await startHostCluster();
    platform.publishConfig({
      ...STREAM_CONFIG,
      version: 2,
      tenants: [{ name: "o", api_keys: ["key-2"] }],
    });
    for (const { address } of processes) {
      await waitUntil("the key is refused", {
        ...WAIT_OPTIONS,
        check: async () => (await callStream(address, "call-1")).status === 401,
      });
    }
  });

  it("log every event in the form that the schema declares", () => {
    const lines = processLogs.flatMap((readLog) => parseLines(readLog()));
    const malformed = lines.filter(({ event, fields }) =>
      !validateLogEvents({ [event]: fields })
    );
    expect(malformed).toEqual([]);
    const events = new Set(lines.map(({ event }) => event));
    expect(EXPECTED_EVENTS.filter((event) => !events.has(event))).toEqual([]);
  });
});

interface LoggedLine {
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses the complete lines of a log. */
function parseLines(log: string): readonly LoggedLine[] {
  return log.split("\n").slice(0, -1).map((text) => {
    const line = JSON.parse(text) as Readonly<Record<string, unknown>>;
    const fields = Object.entries(line).filter(([name]) =>
      !COMMON_FIELDS.has(name)
    );
    return { event: String(line.event), fields: Object.fromEntries(fields) };
  });
}
