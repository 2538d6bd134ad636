/**
 * A planned restart of the machine that leads, a planned scale-out, and a drill
 * in which the store comes back from a copy that is some seconds old.
 */
import { writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { call, createConfig, hasTrouble, runCase } from "../lib/case.js";
import { Front, waitUntil } from "../lib/fronts.js";
import { ModelReplica } from "../lib/replicas.js";
import { Store } from "../lib/store.js";

const KEY = "key-kept";
const MODEL = "model-1";
const LOAD_MS = 6_000;
const AWAY_MS = 1_000;
const TIMES = { hotMs: 200, warmMs: 1_000, loadMs: LOAD_MS, formMs: 300 };
const ZONES = ["cascadia-a", "cascadia-b"];

await runCase(import.meta.url, async ({ record, onEnd }) => {
  const store = new Store();
  onEnd(() => store.stop());
  const storeAddress = await store.open();
  const config = Buffer.from(JSON.stringify(createConfig({
    version: 7,
    tenants: [{ name: "tenant-1", keys: [KEY] }],
    model: {
      name: MODEL,
      size: 2,
      share: 1,
      pace: 1,
      load_s: LOAD_MS / 1_000,
      warm_s: 1,
    },
  })));
  const publishConfig = () => store.append("keyed.op", "config", config);
  publishConfig();

  const replicas = new Map();
  const broken = [];
  /** The rule TWO: no join of another group while the head is open or closing. */
  const checkJoin = (replica, join) => {
    const { group, id } = replica;
    if (group === undefined || group.name === join.name) return;
    const head = replicas.get(group.members[0]);
    const isSame = head?.isAlive && head.group?.name === group.name &&
      head.group.epoch === group.epoch;
    if (!isSame || head.id === id && group.members.length === 1) return;
    if (head.group.state !== "open" && head.group.state !== "closing") return;
    broken.push(
      `TWO: ${id} takes a join of ${join.name} (epoch ${join.epoch}, members ` +
        `${join.members}) while ${head.id}, the head of its group ` +
        `${group.name} (epoch ${group.epoch}, members ${group.members}), is ` +
        head.group.state,
    );
    record(broken.at(-1));
  };
  const addReplicas = async (domain, ...ids) => {
    for (const id of ids) {
      const replica = new ModelReplica({
        id,
        service: "drafts",
        zone: ZONES[Number(domain === "d1")],
        domain,
        store,
        record,
        times: TIMES,
        onJoin: checkJoin,
      });
      replicas.set(id, replica);
      onEnd(() => replica.stop());
      await replica.start();
    }
  };
  await addReplicas("d0", "m1", "m2", "m3", "m4", "m5");
  await addReplicas("d1", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8");

  const fronts = ZONES.map((zone, index) =>
    new Front({ name: `front-${index + 1}`, zone, storeAddress })
  );
  for (const front of fronts) {
    onEnd(() => front.stop());
    await front.start();
  }
  let calls = 0;
  const draft = async (front) => {
    const id = `draft-${++calls}`;
    record(`sent: ${id} to ${front.name}`);
    const answer = await call({
      address: front.address,
      path: "/drafts/1",
      id,
      key: KEY,
      headers: {
        "model": MODEL,
        "token-count": "700,80",
        "prompt-prefix": `a1a1a1a1:40,${calls.toString(16)}:660`,
      },
      timeoutMs: 8_000,
    });
    record(
      `answer: ${id} at ${front.name}: ${answer.status}` +
        (answer.status === 200 && answer.isWhole ? "" : `, ${answer.body}`),
    );
    return answer;
  };
  const openHeads = () =>
    [...replicas.values()].filter(({ group, id }) =>
      group?.state === "open" && group.members[0] === id
    );
  await waitUntil("six open groups", () => openHeads().length === 6, 30_000);
  await waitUntil("each machine serves", async () => {
    const answers = await Promise.all(fronts.map(draft));
    return answers.every(({ status }) => status === 200);
  });
  let isTrafficOn = true;
  const traffic = (async () => {
    while (isTrafficOn) {
      for (const front of fronts) void draft(front);
      await sleep(500);
    }
  })();
  onEnd(() => {
    isTrafficOn = false;
    return traffic;
  });
  const isLoaded = (id) => {
    const state = replicas.get(id).group?.state;
    return state !== undefined && state !== "joining";
  };
  await waitUntil("the spare", () => isLoaded("m5"));

  record("planned: a replica is added, m6");
  await addReplicas("d0", "m6");
  await waitUntil("m6 loads", () => replicas.get("m6").group !== undefined);
  await sleep(LOAD_MS - 1_000);

  const claims = () =>
    store.recordsOf("keyed.fleet").filter(({ key }) => key === "lead");
  const claimsBefore = claims().length;
  const leads = await Promise.all(fronts.map((front) => front.isLeading()));
  const leader = fronts[leads.indexOf(true)];
  record(`planned: SIGTERM at ${leader.name}, which leads`);
  const restarted = leader.restart();
  await waitUntil("a successor", () => claims().length > claimsBefore, 8_000);
  const claim = claims().at(-1);
  record(`${JSON.parse(claim.value).nodeId} has taken the lead`);
  await waitUntil("m6 serves", () => openHeads().length === 7, 10_000);

  if (hasTrouble) {
    const copiedAtMs = claim.atMs - 200;
    const ageS = ((performance.now() - copiedAtMs) / 1_000).toFixed(1);
    record(`disruption: the store is away for ${AWAY_MS} ms`);
    store.leave();
    await sleep(AWAY_MS);
    const lost = store.returnFromCopy(copiedAtMs);
    record(`disruption: it is back from a copy made ${ageS} s before it left`);
    for (const { topic, key, offset } of lost) {
      record(`lost: ${topic} ${key} at ${offset}`);
    }
    // What the operator and the replicas wrote is written again.
    if (lost.some(({ topic }) => topic === "keyed.op")) publishConfig();
    for (const replica of replicas.values()) replica.publish();
  }
  await restarted;
  await waitUntil(`${leader.name} is ready again`, () => leader.isReady());
  const describeLeads = async () => {
    const now = await Promise.all(fronts.map((front) => front.isLeading()));
    const names = fronts.filter((_, index) => now[index]).map(({ name }) =>
      name
    );
    record(`processes that lead by their own metrics: ${names.join()}`);
  };
  await describeLeads();
  for (const front of fronts) {
    if (front === leader) continue;
    record(`planned: SIGTERM at ${front.name}, the next in turn`);
    await front.restart();
    await waitUntil(`${front.name} is ready again`, () => front.isReady());
  }
  await describeLeads();
  // The store has been without disturbance for longer than the stable window.
  await sleep(2_000);
  for (const id of ["m7", "m8", "m9"]) {
    record(`planned: a replica is added, ${id}`);
    await addReplicas("d0", id);
    await sleep(1_000);
  }
  const endMs = performance.now() + 25_000;
  while (performance.now() < endMs && broken.length === 0) await sleep(100);
  await sleep(2_000);
  await describeLeads();
  for (const { id, group } of replicas.values()) {
    record(
      group === undefined ? `${id}: in no group` : `${id}: ${group.name} ` +
        `epoch ${group.epoch} members ${group.members} ${group.state}`,
    );
  }
  if (process.env.DEBUG_LOG) {
    for (const { name, log } of fronts) {
      writeFileSync(`${process.env.DEBUG_LOG}.${name}`, log);
    }
  }
  return broken;
});
