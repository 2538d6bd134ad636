/**
 * The operator changes the config twice. In a drill the store comes back from
 * a copy that lacks both changes. The operator writes its newest config again,
 * and then one that takes a key away. That key must not be accepted for longer
 * than `revoke_ms`.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { call, createConfig, hasTrouble, runCase } from "../lib/case.js";
import { Front, waitUntil } from "../lib/fronts.js";
import { PlainReplica } from "../lib/replicas.js";
import { Store } from "../lib/store.js";

const ZONES = ["cascadia-a", "cascadia-b", "cascadia-c"];
const REVOKE_MS = 5_000;
const STORE_AWAY_MS = 1_000;
/** One call of the operator. */
const NEXT_WRITE_MS = 10;
const REVOKED = "key-revoked";

await runCase(import.meta.url, async ({ record, onEnd }) => {
  const broken = [];
  const store = new Store();
  const storeAddress = await store.open();
  onEnd(() => store.stop());
  const write = (version, timeoutMs, keys) => {
    const config = createConfig({
      version,
      tenants: [{ name: "lots", keys }],
      timeoutMs,
    });
    const offset = store.append(
      "keyed.op",
      "config",
      Buffer.from(JSON.stringify(config)),
    );
    record(`operator: config ${version} at offset ${offset}, keys ${keys}`);
    return performance.now();
  };
  const both = ["key-kept", REVOKED];
  write(10, 1_500, both);

  const replicas = [];
  for (const [index, zone] of ZONES.entries()) {
    const replica = new PlainReplica({
      id: `s-${index + 1}`,
      service: "desk",
      zone,
      store,
      record,
    });
    replicas.push(replica);
    onEnd(() => replica.stop());
    await replica.start();
  }
  const fronts = ZONES.map((zone, index) =>
    new Front({ name: `front-${index + 1}`, zone, storeAddress })
  );
  for (const front of fronts) {
    onEnd(() => front.stop());
    await front.start();
  }
  for (const front of fronts) {
    await waitUntil(`${front.name} ready`, () => front.isReady());
  }
  const answers = [];
  const ask = async (front, key) => {
    const id = `${key}-${front.name}-${answers.length}`;
    const asked = { id, front, key };
    answers.push(asked);
    record(`sent: ${id}`);
    Object.assign(
      asked,
      await call({
        address: front.address,
        path: "/holds/new",
        id,
        key,
        timeoutMs: 1_500,
      }),
    );
    record(`answer: ${id} status ${asked.status}`);
  };
  const askAll = () => {
    for (const front of fronts) {
      void ask(front, "key-kept");
      void ask(front, REVOKED);
    }
  };
  askAll();
  await sleep(2_500);

  const copiedAtMs = performance.now();
  await sleep(500);
  write(13, 1_600, both);
  await sleep(1_000);
  write(14, 1_700, both);
  await sleep(1_000);
  askAll();
  if (hasTrouble) {
    store.leave();
    const ageMs = Math.round(performance.now() - copiedAtMs);
    record(`drill: the store goes away; its copy is ${ageMs} ms old`);
    await sleep(STORE_AWAY_MS);
    const lost = store.returnFromCopy(copiedAtMs);
    for (const { topic, key, offset } of lost) {
      if (topic !== "keyed.servers") record(`lost: ${topic} ${offset} ${key}`);
    }
    record(`drill: the store is back, era ${store.era}`);
    // What the operator and the replicas wrote is written again.
    write(14, 1_700, both);
    for (const replica of replicas) replica.publish();
  } else await sleep(STORE_AWAY_MS);
  // The change that waited for the store follows at once.
  await sleep(NEXT_WRITE_MS);
  const revokedAtMs = write(16, 1_700, ["key-kept"]);

  const endMs = revokedAtMs + 25_000;
  while (performance.now() < endMs) {
    askAll();
    await sleep(1_000);
  }
  await sleep(2_000);
  const ran = new Set(
    replicas.flatMap((replica) => replica.ran.map(({ callId }) => callId)),
  );
  const late = answers.filter(({ key, sentAtMs }) =>
    key === REVOKED && sentAtMs > revokedAtMs + REVOKE_MS
  );
  for (const { id, sentAtMs, status } of late) {
    if (!ran.has(id)) continue;
    const lateMs = Math.round(sentAtMs - revokedAtMs);
    broken.push(
      `CONFIG: ${id} ran, sent ${lateMs} ms after the ack of the config that ` +
        `took its key away; answer ${status}`,
    );
  }
  const kept = answers.filter(({ key, sentAtMs }) =>
    key === "key-kept" && sentAtMs > revokedAtMs + REVOKE_MS
  );
  const served = kept.filter(({ status }) => status === 200).length;
  record(`of ${kept.length} later requests with the kept key, ${served} ran`);
  for (const front of fronts) {
    for (const line of front.log.split("\n")) {
      if (/config\.|lead\.|store\.|keys\.|fault/.test(line)) {
        record(`log ${front.name}: ${line}`);
      }
    }
  }
  return broken;
});
