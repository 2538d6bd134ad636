import { expect } from "earl";
import { connect } from "node:net";
import { after, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { FakePlainInstance } from "./fake_plain_instance.ts";
import { FakePlatform } from "./fake_platform.ts";
import type { JoinedAnswer, JoinedFault } from "./joined_answer.ts";

const BODY = "4\r\nbody\r\n";
const FOREIGN_BYTES = "bytes of no response\r\n\r\n";
const CASES: readonly (readonly [JoinedFault, string])[] = [
  ["foreign-bytes-after-length", `: 4\r\n\r\nbody${FOREIGN_BYTES}`],
  ["foreign-bytes-after-chunks", `${BODY}0\r\n\r\n${FOREIGN_BYTES}`],
  ["second-response", ": 20\r\n\r\nanswer to no request"],
  ["no-chunk-size", `${BODY}zz\r\n`],
];
const PIECE_MS = 40;
const SETTLE_MS = 250;
const cleanups: (() => unknown)[] = [];

after(() => {
  for (const close of cleanups.reverse()) close();
});

// Guards against a stand-in that sends an answer and the fault behind it apart,
// so that tests no longer see what one read does.
describe("an answer joined with a fault", () => {
  for (const [fault, end] of CASES) {
    it(`arrives in one read with ${fault}`, async () => {
      const { instance, address, joined } = await startInstance();
      instance.joining = { faults: [fault], oneIn: 1 };
      const reads = await readAnswer(address);
      expect(reads.length).toEqual(1);
      expect(reads[0]!.startsWith("HTTP/1.1 200 OK\r\nattempt-id: call-0\r\n"))
        .toEqual(true);
      expect(reads[0]!.endsWith(end)).toEqual(true);
      expect(joined.map(({ callId }) => callId)).toEqual(["call-0"]);
    });
  }

  it("arrives piece by piece, the fault with the last one", async () => {
    const { instance, address } = await startInstance();
    instance.joining = {
      faults: ["foreign-bytes-after-chunks"],
      oneIn: 1,
      pieceMs: PIECE_MS,
    };
    const reads = await readAnswer(address);
    expect(reads.length).toEqual(2);
    expect(reads[1]).toEqual(`${BODY}0\r\n\r\n${FOREIGN_BYTES}`);
  });

  it("is one of several, with each fault in turn", async () => {
    const { instance, address, joined } = await startInstance();
    instance.joining = {
      faults: ["foreign-bytes-after-length", "second-response"],
      oneIn: 2,
    };
    for (let call = 0; call < 5; call++) await readAnswer(address);
    expect(joined.map(({ fault }) => fault)).toEqual([
      "foreign-bytes-after-length",
      "second-response",
      "foreign-bytes-after-length",
    ]);
  });
});

async function startInstance() {
  const joined: JoinedAnswer[] = [];
  let address = "";
  const platform = new FakePlatform({
    onJoined: (answer) => joined.push(answer),
    resolveListedAddress: (_id, listed) => Promise.resolve(address = listed),
  });
  cleanups.push(() => platform.stop());
  await platform.startPlainInstance("plain-0", "zone-a");
  const instance: FakePlainInstance = platform.plainInstances.get("plain-0")!;
  return { instance, address, joined };
}

/** Sends a request on a new connection; returns what each read brings. */
async function readAnswer(address: string): Promise<readonly string[]> {
  const [host, port] = address.split(":");
  const reads: string[] = [];
  const socket = connect({ host: host!, port: Number(port) });
  socket.on("data", (bytes) => reads.push(bytes.toString()));
  socket.write(
    "POST / HTTP/1.1\r\nhost: a\r\nattempt-id: call-0\r\n" +
      "expect-instance: plain-0\r\ncontent-length: 4\r\n\r\nbody",
  );
  await sleep(SETTLE_MS);
  socket.destroy();
  return reads;
}
