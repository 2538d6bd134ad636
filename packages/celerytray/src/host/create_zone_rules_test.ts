import { expect } from "earl";
import { once } from "node:events";
import { createServer, get, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import type { Coordinator } from "../coordination/index.ts";
import { InstanceListView } from "../groups/index.ts";
import { MetricsPage } from "../journal/index.ts";
import { createPosition, TopicCopy } from "../keyed_log/index.ts";
import { decodeInstance } from "../platform/decode_instance.ts";
import { LoadTracker } from "../serving/index.ts";
import { createColdRules } from "./create_cold_rules.ts";
import { createZoneRules } from "./create_zone_rules.ts";

const COLD = { startMs: 3_000, requestsPerSecond: 18 };
const KEY = "evacuate/a";
/** Time in which the operator has written anew what an older copy lacks. */
const REWRITE_MS = 2_000;

describe("rules for zones and cold instances", () => {
  it("make a zone's instances cold at the end of its evacuation", () => {
    const fixture = createFixture();
    fixture.write(KEY, "{}");
    expect(fixture.isCold("i-a")).toEqual(false);
    fixture.write(KEY);
    expect([fixture.isCold("i-a"), fixture.isCold("i-b")]).toEqual([
      true,
      false,
    ]);
    fixture.pass(COLD.startMs);
    expect(fixture.isCold("i-a")).toEqual(false);
    // Ended again, this time with the topic's history lost.
    fixture.write(KEY, "{}");
    fixture.readFully();
    expect(fixture.isCold("i-a")).toEqual(true);
    expect(fixture.events.map(([event]) => event)).toEqual([
      "zone.evacuated",
      "zone.restored",
      "zone.evacuated",
      "zone.restored",
    ]);
  });

  // Guards against requests in an evacuated zone once the store came back from a
  // copy that lacks the evacuation (soak seeds 1103 and 2016).
  it("keep a zone evacuated that an older copy of the store lacks", () => {
    const fixture = createFixture();
    fixture.write(KEY, "{}");
    fixture.returnStore();
    expect(fixture.evacuated()).toEqual(["a"]);
    fixture.pass(REWRITE_MS - 1);
    fixture.confirm();
    expect(fixture.evacuated()).toEqual(["a"]);
    fixture.write(KEY, "{}");
    fixture.pass(REWRITE_MS);
    fixture.confirm();
    expect(fixture.evacuated()).toEqual(["a"]);
    fixture.write(KEY);
    expect(fixture.evacuated()).toEqual([]);
    expect(fixture.events.map(([event]) => event))
      .toEqual(["zone.evacuated", "zone.restored"]);
  });

  it("end an evacuation that isn't written anew in time after a return", () => {
    const fixture = createFixture();
    fixture.write(KEY, "{}");
    fixture.returnStore();
    fixture.pass(REWRITE_MS);
    fixture.confirm();
    expect(fixture.evacuated()).toEqual([]);
    expect(fixture.isCold("i-a")).toEqual(true);
  });

  it("count the time to write anew from the latest return", () => {
    const fixture = createFixture();
    fixture.write(KEY, "{}");
    fixture.returnStore();
    fixture.pass(REWRITE_MS - 1);
    fixture.returnStore();
    fixture.pass(REWRITE_MS - 1);
    fixture.confirm();
    expect(fixture.evacuated()).toEqual(["a"]);
    fixture.pass(1);
    fixture.confirm();
    expect(fixture.evacuated()).toEqual([]);
  });

  it("log the evacuation of a zone without instances once", () => {
    const fixture = createFixture();
    fixture.write("evacuate/nowhere", "{}");
    expect(fixture.events).toEqual([
      ["zone.evacuated", { zone: "nowhere", instances: 0, requests: 0 }],
    ]);
  });

  it("show the age of an evacuation and its remaining requests, by zone", async () => {
    const fixture = createFixture();
    fixture.loads.noteSent("i-a");
    fixture.loads.noteSent("i-b");
    fixture.write(KEY, "{}");
    fixture.pass(1_500);
    const during = await fixture.readMetrics();
    expect(during).toInclude('celerytray_evacuation_age_seconds{zone="a"} 1.5');
    expect(during).toInclude('celerytray_evacuated_requests{zone="a"} 1');
    fixture.write(KEY);
    const after = await fixture.readMetrics();
    expect(after.includes('zone="a"')).toEqual(false);
    expect(after).toInclude("celerytray_cold_instances 1");
  });

  it("treat a new instance as cold and keep its state when its entry is malformed", () => {
    const fixture = createFixture();
    fixture.list("i-new", { born: 5 });
    expect(fixture.isCold("i-new")).toEqual(true);
    fixture.pass(2_000);
    fixture.list("i-new", { born: "damaged" });
    fixture.pass(1_000);
    expect(fixture.isCold("i-new")).toEqual(false);
    fixture.list("i-b", { cold_remaining_ms: "soon" });
    expect(fixture.isCold("i-b")).toEqual(true);
    expect(fixture.events.map(([event]) => event))
      .toEqual(["instance.cold", "instance.cold-malformed", "instance.cold"]);
  });
});

/** Creates zones `a` and `b`, each with an instance that is not cold. */
function createFixture() {
  let nowMs = 0;
  let offset = 0;
  let era = 0;
  const events: [string, unknown][] = [];
  const record = (event: string, fields: unknown) => {
    events.push([event, fields]);
  };
  const metrics = new MetricsPage();
  const loads = new LoadTracker();
  const copy = new TopicCopy();
  const instances = new InstanceListView({
    decode: decodeInstance,
    onMalformed: () => {},
  });
  const coordinator = {
    demandTotals: () => ({ byModel: { m: 1 }, byTenant: {} }),
    hasAnyTraffic: () => true,
    countProcesses: () => 1,
  } as unknown as Coordinator;
  const cold = createColdRules({
    processId: "p",
    bounds: { overshoot: 1.5, slackRequests: 5 },
    instances,
    findColdStart: () => COLD,
    coordinator: () => coordinator,
    hasTraffic: () => true,
    metrics,
    record,
    nowMs: () => nowMs,
    wallMs: () => 1e9,
  });
  const zones = createZoneRules({
    prefix: "evacuate/",
    copy,
    instances,
    loads,
    metrics,
    record,
    nowMs: () => nowMs,
    onRestored: cold.noteRestored,
  });
  const list = (id: string, own: Readonly<Record<string, unknown>> = {}) => {
    offset += 1;
    const entry = {
      service: "s",
      address: "127.0.0.1:1",
      zone: id.slice(-1),
      slots: 1,
      state: "ready",
      born: 1,
      ...own,
    };
    const value = Buffer.from(JSON.stringify(entry));
    return { records: [{ key: id, value, offset }] };
  };
  const applyList = (
    change: ReturnType<typeof list>,
    isFullRead: boolean,
  ) => {
    instances.apply({ ...change, isFullRead, nextOffset: offset }, nowMs);
    cold.noteList(change);
  };
  const readTopic = (
    change: Omit<Parameters<TopicCopy["apply"]>[0], "nextOffset">,
  ) => {
    copy.apply({ ...change, nextOffset: offset + 1 });
    zones.update();
  };
  readTopic({ isFullRead: true, records: [] });
  applyList({
    records: ["i-a", "i-b"].flatMap((id) => list(id).records),
  }, true);
  return {
    events,
    loads,
    pass: (passedMs: number) => nowMs += passedMs,
    list: (id: string, own: Readonly<Record<string, unknown>>) =>
      applyList(list(id, own), false),
    write: (key: string, text?: string) => {
      offset += 1;
      const value = text === undefined ? {} : { value: Buffer.from(text) };
      readTopic({ isFullRead: false, records: [{ key, offset, ...value }] });
    },
    readFully: () => {
      offset += 1;
      readTopic({ isFullRead: true, records: [] });
    },
    /** The store comes back from a copy without any keys. */
    returnStore: () => {
      era += 1;
      offset = createPosition({ era, offset: 1 });
      readTopic({ isFullRead: true, records: [] });
    },
    /** The topic is known to hold nothing new. */
    confirm: () => zones.update(),
    evacuated: () => zones.evacuations.list(nowMs).map(({ zone }) => zone),
    isCold: (instanceId: string) =>
      !cold.rateLimiter.maySend({ instanceId, cold: COLD }, nowMs),
    readMetrics: async () => {
      const server = createServer(metrics.handler()).listen(0, "127.0.0.1");
      await once(server, "listening");
      const { port } = server.address() as AddressInfo;
      const request = get({ host: "127.0.0.1", port, agent: false });
      const [response] = await once(request, "response") as [IncomingMessage];
      const parts = await response.setEncoding("utf8").toArray();
      server.close();
      return parts.join("");
    },
  };
}
