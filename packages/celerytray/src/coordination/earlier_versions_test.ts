import { expect } from "earl";
import { Effect } from "effect";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, describe, it } from "node:test";
import { LeaderStatus } from "./leader_status.ts";
import {
  decodeLeadingProcess,
  encodeLeadingProcess,
  generationOf,
  LEADER_GENERATION,
} from "./leading_process.ts";
import { parseReport, type ReportReply } from "./peer_messages.ts";
import { PeerClient } from "./peer_router.ts";

const NODE = '"nodeId":"front-0","peerAddress":"127.0.0.1:20002",' +
  '"zone":"zone-a","cores":1';
const REPORT_END = '"stalledHeads":[],"slowHeads":[],"leaving":[],' +
  '"demand":{},"tenantDemand":{},"repeats":{},"hasTraffic":false,' +
  '"quarantine":{"crashes":[],"safe":[],"wanted":[],"quarantined":[]},' +
  '"limits":{"sightings":[],"seekers":[]}},"known":{"term":3,' +
  '"relaysVersion":"1-3","updatesVersion":"1-2","instancesOffset":7,' +
  '"configOffset":1},"configVersion":1,"holdMs":250}';
const REPLY_START = '{"isLeading":true,"term":1,"lead":{"nodeId":"front-0",' +
  '"bootId":"boot-0","peerAddress":"127.0.0.1:20002","term":1},' +
  '"statusAgeMs":86.3,"storeAgeMs":168.2,"processes":1,"repeats":{},' +
  '"areTotalsComplete":true,"demand":{"byModel":{},"byTenant":{}},' +
  '"expectedMs":{},"relays":{"version":"1-1","value":[]},"updates":';
const REPLY_END = ',"configVersion":1,"config":{"records":[],"nextOffset":1,' +
  '"proofAgeMs":null},"instances":{"records":[],"nextOffset":7,' +
  '"proofAgeMs":null},"heldMs":0.07}';

/** Messages as processes of earlier versions send them. */
const EARLIER = {
  c757576: {
    report: `{"reporter":{${NODE}},"bootId":"boot-0","summary":{` +
      `"processes":2,"candidates":[{${NODE}}],${REPORT_END}`,
    reply: `${REPLY_START}{"version":"1-2","value":{"closedHeads":[],` +
      `"leaving":[],"limits":[]}}${REPLY_END}`,
  },
  "9476155": {
    report: `{"reporter":{${NODE},"servesOthers":true},"bootId":"boot-0",` +
      `"summary":{"processes":2,"candidates":[{${NODE},` +
      `"servesOthers":true}],${REPORT_END}`,
    reply: `${REPLY_START}{"version":"1-2","value":{"closedHeads":[],` +
      `"silentHeads":[],"leaving":[],"limits":[]}}${REPLY_END}`,
  },
} as const;

/** Answer of c757576 to a procedure that it does not know. */
const UNKNOWN_PROCEDURE = {
  error: {
    message: 'No procedure found on path "reach"',
    code: -32004,
    data: { code: "NOT_FOUND", httpStatus: 404, path: "reach" },
  },
};

const KNOWN_NOTHING = {
  term: 0,
  relaysVersion: "",
  updatesVersion: "",
  instancesOffset: 0,
  configOffset: 0,
};

/** Fields of a reply that make up the leader's status. */
const STATUS_FIELDS = [
  "term",
  "lead",
  "statusAgeMs",
  "storeAgeMs",
  "processes",
  "repeats",
  "areTotalsComplete",
  "demand",
  "expectedMs",
  "relays",
  "updates",
];

const cleanups: (() => unknown)[] = [];

after(async () => {
  for (const close of cleanups) await close();
});

// Guards against processes of two versions that don't understand each other
// while machines are upgraded one after the other.
for (const [version, { report, reply }] of Object.entries(EARLIER)) {
  describe(`messages of ${version}`, () => {
    it("are reports, read in full", () => {
      expect(parseReport(JSON.parse(report))).toEqual(JSON.parse(report));
    });

    it("make a status, whose leader is of an earlier version", () => {
      const status = adopt(JSON.parse(reply));
      expect(status.isFresh(0)).toEqual(true);
      expect(generationOf(status.leader!) < LEADER_GENERATION).toEqual(true);
      expect([status.gateways, status.silentHeads, status.limits])
        .toEqual([[], [], []]);
    });

    it("are read with fields that a later version adds", () => {
      const read = parseReport(addFields(JSON.parse(report)));
      expect(read.known.term).toEqual(3);
      expect(adopt(addFields(JSON.parse(reply)) as ReportReply).term)
        .toEqual(1);
    });
  });
}

describe("a status that is passed on", () => {
  // A relay of an earlier version stands between two of a later one.
  it("keeps what this version does not know of the leader and the updates", () => {
    const reply = JSON.parse(EARLIER["9476155"].reply);
    reply.lead.later = 1;
    reply.updates.value.later = [2];
    const described = adopt(reply).describe(KNOWN_NOTHING, 0);
    expect(described.lead).toEqual(reply.lead);
    expect(described.updates).toEqual(reply.updates);
  });

  it("has every field that earlier versions read", () => {
    const reply = JSON.parse(EARLIER.c757576.reply);
    const status = new LeaderStatus();
    status.setLeader({ ...reply.lead, generation: LEADER_GENERATION }, 0);
    const { updates, relays } = reply;
    status.publish({
      processes: 1,
      areTotalsComplete: true,
      retryTotals: {},
      demand: { byModel: {}, byTenant: {} },
      expectedMs: {},
      relays: relays.value,
      updates: { ...updates.value, silentHeads: [], gateways: [] },
      storeAnsweredAtMs: 0,
    }, 0);
    const described = status.describe(KNOWN_NOTHING, 0);
    const read = Object.fromEntries(
      STATUS_FIELDS.map((name) => [name, reply[name]]),
    );
    expect(listMissing(described, read)).toEqual([]);
  });
});

describe("the record of a leader", () => {
  it("has the fields that earlier versions read, and their values", () => {
    const { lead } = JSON.parse(EARLIER.c757576.reply);
    const encoded = encodeLeadingProcess({
      ...lead,
      generation: LEADER_GENERATION,
    });
    const { generation, ...fields } = JSON.parse(encoded.toString("utf8"));
    expect(fields).toEqual(lead);
    expect(generation).toEqual(LEADER_GENERATION);
  });

  it("is read as earlier versions write it", () => {
    const { lead } = JSON.parse(EARLIER.c757576.reply);
    const value = Buffer.from(JSON.stringify(lead));
    expect(decodeLeadingProcess({ key: "lead", value, offset: 0 }))
      .toEqual(lead);
  });
});

describe("a process that does not know a procedure", () => {
  it("gives no answer, at once", async () => {
    const server = createServer((request, response) => {
      request.resume();
      response.writeHead(404, { "content-type": "application/json" })
        .end(JSON.stringify(UNKNOWN_PROCEDURE));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    cleanups.push(() => {
      server.closeAllConnections();
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    const failure = await Effect.runPromise(Effect.flip(
      new PeerClient().reach(`127.0.0.1:${port}`, [
        { id: "m-0", address: "127.0.0.1:1" },
      ]),
    ));
    expect(failure.isRefused).toEqual(false);
    expect(failure.message).toEqual(expect.includes("No procedure found"));
  });
});

/** The status of a process that follows the sender. */
function adopt(reply: ReportReply): LeaderStatus {
  const status = new LeaderStatus();
  status.adopt(reply, { publishedAtMs: 0, statusPath: "direct" });
  return status;
}

/** Adds a field to every object of a message. */
function addFields(message: unknown): unknown {
  if (typeof message !== "object" || message === null) return message;
  if (Array.isArray(message)) return message.map(addFields);
  const entries = Object.entries(message).map(([name, value]) =>
    [name, isOpenRecord(name) ? value : addFields(value)] as const
  );
  return { ...Object.fromEntries(entries), later: { field: true } };
}

/** Whether an object holds one entry for each service, model or organisation. */
function isOpenRecord(name: string): boolean {
  return ["demand", "tenantDemand", "repeats", "expectedMs"].includes(name);
}

/** Paths of fields that a message lacks or that are of another type. */
function listMissing(message: unknown, example: unknown): readonly string[] {
  if (typeof message !== typeof example) return [""];
  if (typeof example !== "object" || example === null) return [];
  const fields = (message ?? {}) as Record<string, unknown>;
  return Object.entries(example).flatMap(([name, value]) =>
    listMissing(fields[name], value).map((path) => `${name}.${path}`)
  );
}
