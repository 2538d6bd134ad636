import { callStream, COMPLETE_STREAM, STREAM_CONFIG } from "@celerytray/fakes";
import { validateLogEvents } from "@celerytray/schema/log_event_validator";
import { expect } from "earl";
import { once } from "node:events";
import { describe, it } from "node:test";
import type { HostProcess } from "./host_process.ts";
import { findLeads, logs, startWorld, WAIT } from "./host_world.ts";
import { waitUntil } from "./wait_until.ts";

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
describe("processes on the platform", () => {
  it("form replicas, serve streams and repair after a head's death", async () => {
    const { platform, processes } = await startWorld();
    const answer = await callStream(processes[0]!.address, "call-1");
    expect([answer.status, answer.body]).toEqual([200, COMPLETE_STREAM]);
    const before = platform.listServing().length;
    platform.kill(platform.listServing()[0]!.instance.id);
    await waitUntil("the replica to be formed anew", {
      ...WAIT,
      check: () => Promise.resolve(platform.listServing().length === before),
    });
    const later = await callStream(processes[1]!.address, "call-2");
    expect([later.status, later.body]).toEqual([200, COMPLETE_STREAM]);
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
          platform.listServing().some(({ executedCallIds: ranIds }) =>
            ranIds.length > 0
          ),
        ),
    });
    const exited = once(lead!.child, "exit");
    lead!.child.kill("SIGTERM");
    const answer = await underWay;
    expect([answer.status, answer.body]).toEqual([200, COMPLETE_STREAM]);
    expect(await exited).toEqual([0, null]);
    await waitUntil("another process to lead", {
      ...WAIT,
      check: async () => (await findLeads(others)).length === 1,
    });
    expect((await callStream(others[0]!.address, "call-2")).body)
      .toEqual(COMPLETE_STREAM);
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
      ...STREAM_CONFIG,
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
