/**
 * Configs come in quick succession; in a drill the store comes back from a copy
 * that is some seconds old; then the operator takes a key away.
 */
import { writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { call, createConfig, hasTrouble, runCase } from "../lib/case.js";
import { Front, waitUntil } from "../lib/fronts.js";
import { PlainReplica } from "../lib/replicas.js";
import { Store } from "../lib/store.js";

const KEPT = "key-kept";
const TAKEN = "key-to-be-taken";
const REVOKE_MS = 5_000;
const AWAY_MS = 1_000;
const GAP_MS = 330;
const MACHINES = 7;
const ZONES = ["cascadia-a", "cascadia-b", "cascadia-c"];

await runCase(import.meta.url, async ({ record, onEnd }) => {
  const store = new Store();
  onEnd(() => store.stop());
  const storeAddress = await store.open();
  /** Writes a config; the store's answer is its ack. */
  const publish = (version, keys, timeoutMs) => {
    const config = createConfig({
      version,
      timeoutMs,
      tenants: [{ name: "tenant-1", keys }],
    });
    const offset = store.append(
      "keyed.op",
      "config",
      Buffer.from(JSON.stringify(config)),
    );
    record(`operator: version ${version} is acked at offset ${offset}`);
  };
  publish(7, [KEPT, TAKEN], 1_500);

  const replicas = ZONES.map((zone, index) =>
    new PlainReplica({
      id: `p${index + 1}`,
      service: "desk",
      zone,
      store,
      record,
    })
  );
  for (const replica of replicas) {
    onEnd(() => replica.stop());
    await replica.start();
  }
  const fronts = [];
  for (let index = 0; index < MACHINES; index++) {
    const name = `front-${index + 1}`;
    const front = new Front({
      name,
      zone: ZONES[index % ZONES.length],
      storeAddress,
    });
    fronts.push(front);
    onEnd(() => front.stop());
    await front.start();
  }
  let calls = 0;
  const hold = async (front, key) => {
    const id = `hold-${++calls}`;
    record(`sent: ${id} to ${front.name}`);
    const answer = await call({
      address: front.address,
      path: "/holds/1",
      id,
      key,
      timeoutMs: 1_500,
    });
    record(
      `answer: ${id} at ${front.name} with ` +
        `${key === TAKEN ? "the key to be taken away" : "the kept key"}: ` +
        `${answer.status}`,
    );
    return answer;
  };
  await waitUntil("each machine serves both keys", async () => {
    const answers = await Promise.all(
      fronts.flatMap((front) => [hold(front, KEPT), hold(front, TAKEN)]),
    );
    return answers.every(({ status }) => status === 200);
  });
  await sleep(2_000);

  const copiedAtMs = performance.now();
  await sleep(GAP_MS);
  publish(9, [KEPT, TAKEN], 1_400);
  await sleep(GAP_MS);
  publish(12, [KEPT, TAKEN], 1_500);
  await sleep(2_000);
  if (hasTrouble) {
    const ageS = ((performance.now() - copiedAtMs) / 1_000).toFixed(1);
    record(`disruption: the store is away for ${AWAY_MS} ms`);
    store.leave();
    await sleep(AWAY_MS);
    const lost = store.returnFromCopy(copiedAtMs);
    record(`disruption: it is back from a copy made ${ageS} s before it left`);
    for (const { topic, key, offset } of lost) {
      record(`lost: ${topic} ${key} at ${offset}`);
    }
    // What the operator and the replicas wrote is written again: the newest
    // config, in full, and the replicas' entries.
    publish(12, [KEPT, TAKEN], 1_500);
    for (const replica of replicas) replica.publish();
  }
  await sleep(3_000);
  publish(13, [KEPT], 1_500);
  const takenAtMs = performance.now();
  record("operator: the key is taken away with this version");

  const broken = [];
  await sleep(REVOKE_MS + 100);
  const endMs = performance.now() + 15_000;
  while (performance.now() < endMs) {
    for (const front of fronts) {
      const { id, sentAtMs, status } = await hold(front, TAKEN);
      const ran = replicas.some((replica) =>
        replica.ran.some(({ callId }) => callId === id)
      );
      const afterMs = Math.round(sentAtMs - takenAtMs);
      if (!ran || afterMs <= REVOKE_MS) continue;
      broken.push(
        `CONFIG: ${id}, sent to ${front.name} ${afterMs} ms after the ack that ` +
          `took its key away, has run (answer ${status})`,
      );
    }
    await sleep(500);
  }
  if (process.env.DEBUG_LOG) {
    for (const { name, log } of fronts) {
      writeFileSync(`${process.env.DEBUG_LOG}.${name}`, log);
    }
  }
  return broken;
});
