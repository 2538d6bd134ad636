/**
 * The machines are stopped and started in turn, beginning with the one that
 * leads. The next leader forms a replica of two instances that were added. In a
 * drill the store comes back from a copy that is some seconds old and lacks
 * both records. Then the second leader is stopped in its turn.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { call, createConfig, hasTrouble, runCase } from "../lib/case.js";
import { Front, waitUntil } from "../lib/fronts.js";
import { ModelReplica, PlainReplica } from "../lib/replicas.js";
import { Store } from "../lib/store.js";

const ZONES = ["cascadia-a", "cascadia-b", "cascadia-c"];
const MODEL = {
  name: "m0",
  size: 2,
  pace: 1,
  share: 1,
  load_s: 1,
  warm_s: 0.3,
};
const TIMES = { hotMs: 200, warmMs: 300, loadMs: 1_000, formMs: 300 };
const STORE_AWAY_MS = 1_000;

await runCase(import.meta.url, async ({ record, onEnd }) => {
  const broken = [];
  const store = new Store();
  const storeAddress = await store.open();
  onEnd(() => store.stop());
  const config = createConfig({
    version: 7,
    tenants: [{ name: "lots", keys: ["key-1"] }],
    model: MODEL,
  });
  store.append("keyed.op", "config", Buffer.from(JSON.stringify(config)));

  const models = new Map();
  const describe = ({ name, epoch, members, state }) =>
    `${name} epoch ${epoch} [${members}]${state ? ` ${state}` : ""}`;
  /** TWO: no join of another group while the head of its group is open. */
  const onJoin = (replica, next) => {
    const { group } = replica;
    if (group === undefined || group.name === next.name) return;
    const head = models.get(group.members[0]);
    const isSame = head?.isAlive && head.group?.name === group.name &&
      head.group.epoch === group.epoch;
    if (!isSame || !["open", "closing"].includes(head.group.state)) return;
    broken.push(
      `TWO: ${replica.id} took a join of ${describe(next)} while the head ` +
        `${head.id} of its group ${describe(head.group)}`,
    );
    record(`BROKEN ${broken.at(-1)}`);
  };
  const addModel = async (number) => {
    const replica = new ModelReplica({
      id: `i-${number}`,
      service: "drafts",
      zone: ZONES[number % 3],
      domain: "d1",
      times: TIMES,
      store,
      record,
      onJoin,
    });
    models.set(replica.id, replica);
    onEnd(() => replica.stop());
    record(`scale_out: ${replica.id} starts`);
    await replica.start();
  };
  const openHeads = () =>
    [...models.values()].filter(({ group, id }) =>
      group?.state === "open" && group.members[0] === id
    );
  const isOpenWith = (id) =>
    openHeads().some(({ group }) => group.members.includes(id));

  for (let number = 1; number <= 2; number++) {
    const desk = new PlainReplica({
      id: `s-${number}`,
      service: "desk",
      zone: ZONES[number],
      store,
      record: () => {},
    });
    onEnd(() => desk.stop());
    await desk.start();
  }
  for (let number = 1; number <= 4; number++) await addModel(number);
  const fronts = ZONES.map((zone, index) =>
    new Front({ name: `front-${index + 1}`, zone, storeAddress })
  );
  for (const front of fronts) {
    onEnd(() => front.stop());
    await front.start();
  }
  await waitUntil("two replicas open", () => openHeads().length === 2);
  for (const front of fronts) {
    await waitUntil(`${front.name} ready`, () => front.isReady());
  }
  const findLeaders = async (among) => {
    const leading = await Promise.all(among.map((front) => front.isLeading()));
    return among.filter((_, index) => leading[index] === true);
  };
  const [first] = await findLeaders(fronts);
  record(`${first.name} leads; two replicas are open`);

  const others = fronts.filter((front) => front !== first);
  let count = 0;
  const traffic = setInterval(async () => {
    count += 1;
    const id = `draft-${count}`;
    const front = others[count % 2];
    record(`sent: ${id} to ${front.name}`);
    const { status } = await call({
      address: front.address,
      path: "/drafts/new",
      id,
      key: "key-1",
      headers: {
        model: "m0",
        "token-count": "400,60",
        "prompt-prefix": `aa:40,${count.toString(16)}:360`,
      },
      timeoutMs: 6_000,
    });
    record(`answer: ${id} status ${status}`);
  }, 400);
  onEnd(() => clearInterval(traffic));
  await sleep(1_500);

  const copiedAtMs = performance.now();
  record(`copy of the store: fleet topic ends at ${endsOf(store)}`);
  record(`roll_term: ${first.name} gets SIGTERM`);
  const firstIsBack = first.restart();
  await waitUntil(
    "another leader",
    async () => (await findLeaders(others)).length === 1,
  );
  const [second] = await findLeaders(others);
  record(`${second.name} leads; fleet topic ends at ${endsOf(store)}`);
  await addModel(5);
  await addModel(6);
  await waitUntil("a replica of i-5 and i-6", () => isOpenWith("i-6"));
  record(`open: ${openHeads().map(({ group }) => describe(group)).join("; ")}`);

  if (hasTrouble) {
    store.leave();
    const ageMs = Math.round(performance.now() - copiedAtMs);
    record(`drill: the store goes away; its copy is ${ageMs} ms old`);
    await sleep(STORE_AWAY_MS);
    const lost = store.returnFromCopy(copiedAtMs);
    for (const { topic, key, offset } of lost) {
      if (topic === "keyed.servers") continue;
      record(`lost: ${topic} ${offset} ${key}`);
    }
    // What the replicas wrote is written again.
    for (const replica of models.values()) replica.publish();
    record(`drill: the store is back, era ${store.era}`);
  } else await sleep(STORE_AWAY_MS);

  await firstIsBack;
  record(`${first.name} is back`);
  await waitUntil(`${first.name} ready`, () => first.isReady());
  record(`roll_term: ${second.name} gets SIGTERM`);
  const secondIsBack = second.restart();
  for (let number = 7; number <= 9; number++) {
    await sleep(3_000);
    const leaders = await findLeaders(fronts);
    record(`leading: ${leaders.map(({ name }) => name).join(", ")}`);
    await addModel(number);
  }
  await secondIsBack;
  record(`${second.name} is back`);
  await sleep(10_000);
  const leaders = await findLeaders(fronts);
  record(`leading: ${leaders.map(({ name }) => name).join(", ")}`);
  record(`open: ${openHeads().map(({ group }) => describe(group)).join("; ")}`);
  for (const front of fronts) {
    for (const line of front.log.split("\n")) {
      if (/lead\.|record-failed|replica\.formed|fault/.test(line)) {
        record(`log ${front.name}: ${line}`);
      }
    }
  }
  return broken;
});

function endsOf(store) {
  return store.endOf("keyed.fleet");
}
