import { expect } from "earl";
import fc from "fast-check";
import { once } from "node:events";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import {
  LOCAL_OPERATOR_TOKEN,
  type LocalCluster,
  startLocalCluster,
} from "./start_local_cluster.ts";

const RAW_CASES = 150;
const TRPC_CASES = 300;
const ANSWER_TIMEOUT_MS = 300;

const PROCEDURES = [
  "applyConfig",
  "rollbackConfig",
  "drain",
  "timeline",
  "mergedTimeline",
  "peer.exchange",
  "peer.offerConfig",
  "peer.probe",
];

const rawRequest = fc.tuple(
  fc.constantFrom("GET", "POST", "PUT", "BREW", ""),
  fc.constantFrom(
    "/v1/chat/completions",
    "/services/slotbook/bookings",
    "/services/%zz/..%2f",
    "/readyz",
    "//",
    "",
  ),
  fc.array(
    fc.constantFrom(
      "content-length: -1",
      "content-length: 99999999999999999999",
      "transfer-encoding: chunked",
      "authorization: Bearer x",
      "idempotency-key: " + "k".repeat(5_000),
      "host:",
      ": empty",
      "x: " + "y".repeat(20_000),
    ),
    { maxLength: 3 },
  ),
  fc.string({ unit: "binary", maxLength: 100 }),
).map(([method, path, headers, body]) =>
  `${method} ${path} HTTP/1.1\r\n${headers.join("\r\n")}\r\n\r\n${body}`
);

const trpcCall = fc.record({
  procedure: fc.constantFrom(...PROCEDURES),
  token: fc.constantFrom(LOCAL_OPERATOR_TOKEN, "local-peer-secret-0", ""),
  body: fc.oneof(fc.json({ maxDepth: 3 }), fc.string({ unit: "binary" })),
});

describe("malformed requests to a process", () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await startLocalCluster({
      availabilityZones: ["kth-a"],
      fabricDomainCount: 0,
    });
  });

  after(() => cluster?.stop());

  async function expectAlive(): Promise<void> {
    const [entry] = cluster.entries;
    const answer = await fetch(`http://${entry!.address}/livez`);
    expect(answer.status).toEqual(200);
    expect(entry!.process.child.exitCode).toEqual(null);
    const status = await cluster.admin(entry!).status.query();
    expect(status.configVersion).toEqual(0);
  }

  it("do not crash it on either port", async () => {
    const [entry] = cluster.entries;
    const cases = fc.sample(rawRequest, { numRuns: RAW_CASES, seed: 5 });
    for (const address of [entry!.address, entry!.adminAddress]) {
      await Promise.all(cases.map((text) => sendRaw(address, text)));
    }
    await expectAlive();
  });

  it("do not crash it as operator or peer calls", async () => {
    const { adminAddress } = cluster.entries[0]!;
    const cases = fc.sample(trpcCall, { numRuns: TRPC_CASES, seed: 6 });
    for (const { procedure, token, body } of cases) {
      const answer = await fetch(`http://${adminAddress}/${procedure}`, {
        method: "POST",
        headers: {
          "content-type": "application/json",
          authorization: `Bearer ${token}`,
        },
        body,
      });
      await answer.text();
    }
    await expectAlive();
  });
});

async function sendRaw(address: string, text: string): Promise<void> {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {});
  socket.resume();
  socket.write(text);
  const timer = setTimeout(() => socket.destroy(), ANSWER_TIMEOUT_MS);
  await once(socket, "close");
  clearTimeout(timer);
}
