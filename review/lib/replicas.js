/** Stand-ins of the platform's replicas, as PROTOCOL.md describes them. */
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { answerJson } from "./store.js";

const HEARTBEAT_MS = 1_200;
/** Times of the engine in `createConfig`. */
const READ_PER_MS = 56.1;
const STEP_MS = 6.45;
const PER_SEQ_MS = 0.14;
const STRIDE = 6;
const PLAIN_WORK_MS = 20;

/** What plain replicas and model replicas share. */
class Replica {
  isAlive = true;
  isLeaving = false;
  /** Ids of the requests that it ran, with their times. */
  ran = [];
  /** Requests that reached it, and whether they began to run. */
  arrivals = [];
  address = "";
  bornAt = Date.now();
  #timer;

  constructor({ id, service, zone, store, record }) {
    Object.assign(this, { id, service, zone, store, record });
    this.#listen();
  }

  #listen() {
    this.server = createServer((request, response) => {
      response.on("error", () => {});
      void this.#handle(request, response);
    });
  }

  async start() {
    await new Promise((resolve) =>
      this.server.listen(0, "127.0.0.1", () => resolve())
    );
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.publish();
    this.#timer = setInterval(() => this.publish(), HEARTBEAT_MS);
  }

  /** Writes its entry, unless the store is away. */
  publish() {
    if (!this.isAlive || this.store.isAway) return;
    const entry = {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: 8,
      state: this.isLeaving ? "draining" : "ready",
      cold_remaining_ms: 0,
      born: this.bornAt,
      ...this.describe(),
    };
    this.store.append(
      "keyed.servers",
      this.id,
      Buffer.from(JSON.stringify(entry)),
    );
  }

  /** Exits after a drain; its entry is removed. */
  exit() {
    this.isAlive = false;
    clearInterval(this.#timer);
    this.server.close();
    this.server.closeAllConnections();
    this.store.append("keyed.servers", this.id, undefined);
  }

  /**
   * Crashes: all its channels close. Its entry is removed after three intervals
   * of silence, unless it is back before.
   */
  crash(backAfterMs) {
    this.stop();
    const { bornAt } = this;
    setTimeout(() => {
      if (this.bornAt !== bornAt || this.isAlive) return;
      this.store.append("keyed.servers", this.id, undefined);
    }, 3 * HEARTBEAT_MS).unref();
    setTimeout(() => {
      this.forget();
      this.isAlive = true;
      this.bornAt = Date.now();
      this.#listen();
      void this.start();
    }, backAfterMs).unref();
  }

  /** Forgets what a life of it held and knew. */
  forget() {}

  stop() {
    this.isAlive = false;
    clearInterval(this.#timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  describe() {
    return {};
  }

  order() {
    return 400;
  }

  answerHeaders(callId) {
    return {
      "attempt-id": callId,
      ...(this.isLeaving ? { "server-leaving": "1" } : {}),
    };
  }

  reject(response, callId, status) {
    response.writeHead(status, {
      ...this.answerHeaders(callId),
      "not-executed": "1",
    }).end();
  }

  async #handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    const callId = request.headers["attempt-id"] ?? "";
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      this.reject(response, callId, 421);
    } else if (request.url === "/report") {
      answerJson(response, 200, { pace: 1, ...this.describe() });
    } else if (request.url === "/order") {
      const order = JSON.parse(body.toString());
      const status = this.order(order);
      const { op, group, epoch, members, fence } = order;
      this.record(
        `order at ${this.id}: ${op} ${group ?? ""} epoch ${epoch} fence ` +
          `${fence} members ${members ?? ""} -> ${status}`,
      );
      response.writeHead(status, this.answerHeaders("")).end();
    } else await this.serve({ request, response, callId, body });
  }

  /** Notes that it runs a request. */
  run(callId, request) {
    this.ran.push({ callId, atMs: performance.now() });
    this.record(
      `run: ${callId} at ${this.id}, tenant ${request.headers.tenant ?? "-"}`,
    );
  }
}

/** A replica of a plain service, which echoes the body. */
export class PlainReplica extends Replica {
  /** Body of a request that crashes it as it begins to run it. */
  deadlyBody;
  onCrash = () => {};
  /** Share of the answers that are lost: the channel is reset instead. */
  lostShare = 0;

  describe() {
    return { models: [], staged: [], sequence: 0 };
  }

  async serve({ request, response, callId, body }) {
    const { bornAt } = this;
    this.run(callId, request);
    if (body.toString() === this.deadlyBody) {
      this.onCrash(this, callId);
      return;
    }
    await sleep(PLAIN_WORK_MS);
    if (this.bornAt !== bornAt || !this.isAlive) return;
    if (Math.random() < this.lostShare) {
      this.record(`lost: the answer to ${callId} at ${this.id}`);
      response.socket?.resetAndDestroy();
      return;
    }
    response.writeHead(200, {
      ...this.answerHeaders(callId),
      "server-stamp": `stamp-${this.id}`,
      "replica-load": "1,0,8",
    }).end(body);
  }
}

/** A replica that can join groups of a model, with the page's rules of orders. */
export class ModelReplica extends Replica {
  group;
  #staged = [];
  #lastModel;
  #fence = -1;
  #epoch = -1;
  #sequence = 0;
  #timers = new Set();
  /** The load of a model that is under way. */
  #load = { endsAtMs: 0 };

  constructor(options) {
    super(options);
    /** Called with a join that this replica takes, before it does. */
    this.onJoin = options.onJoin;
    this.domain = options.domain;
    this.times = options.times;
  }

  describe() {
    const { group } = this;
    const model = group === undefined || group.state === "joining"
      ? undefined
      : group.model;
    return {
      domain: this.domain,
      staged: this.#staged,
      sequence: this.#sequence,
      models: model === undefined
        ? []
        : [{ name: model, version: 1, adapters: [] }],
      ...(group === undefined ? {} : {
        group: {
          name: group.name,
          epoch: group.epoch,
          rank: group.members.indexOf(this.id),
          state: group.state,
        },
      }),
    };
  }

  forget() {
    this.group = undefined;
    this.#lastModel = undefined;
    this.#fence = -1;
    this.#epoch = -1;
    this.#sequence = 0;
    this.#load = { endsAtMs: 0 };
    this.running = 0;
  }

  order(order) {
    if (order.fence !== undefined) {
      if (order.fence < this.#fence) return 412;
      this.#fence = order.fence;
    }
    const status = this.#apply(order);
    if (status === 202) this.#sequence += 1;
    if (status === 200 || status === 202) this.publish();
    return status;
  }

  #apply(order) {
    const { group } = this;
    const isOwn = group !== undefined && group.name === order.group &&
      group.epoch === order.epoch;
    if (order.op === "join") return this.#join(order, isOwn);
    if (order.op === "stage") {
      if (this.#staged.includes(order.model)) return 200;
      this.#after(this.times.loadMs, () => this.#staged = [order.model]);
      return 202;
    }
    if (order.op === "leave") {
      if (isOwn) this.group = undefined;
      return 200;
    }
    if (!isOwn || group.members[0] !== this.id) return 409;
    if (order.op === "open") {
      if (group.state === "open") return 200;
      if (group.state !== "ready" || group.isOpening) return 409;
      group.isOpening = true;
      this.#after(this.times.formMs, () => {
        if (this.group === group) group.state = "open";
      });
      return 202;
    }
    if (order.op === "close") {
      if (group.state === "ready") return 200;
      if (group.state === "open") {
        group.state = "closing";
        this.#after(50, () => {
          if (this.group === group) group.state = "ready";
        });
      }
      return 202;
    }
    return 400;
  }

  #join({ group: name, epoch, model, members }, isOwn) {
    if (isOwn) {
      return this.group.members.join() === members.join() ? 200 : 412;
    }
    if (epoch < this.#epoch) return 412;
    this.#epoch = epoch;
    this.onJoin(this, { name, epoch, members });
    const joinMs = this.#beginLoad(model);
    const group = { name, epoch, model, members, state: "joining" };
    this.group = group;
    this.#after(joinMs, () => {
      if (this.group !== group) return;
      group.state = "ready";
      this.#lastModel = model;
      if (!this.#staged.includes(model)) this.#staged = [model];
    });
    return 202;
  }

  /** Time until the model is in memory; a load under way goes on. */
  #beginLoad(model) {
    if (this.#lastModel === model) return this.times.hotMs;
    if (this.#staged.includes(model)) return this.times.warmMs;
    const nowMs = performance.now();
    const remainingMs = this.#load.endsAtMs - nowMs;
    if (this.#load.model === model && remainingMs > 0) {
      return remainingMs + this.times.warmMs;
    }
    this.#load = { model, endsAtMs: nowMs + this.times.loadMs };
    return this.times.loadMs;
  }

  #after(delayMs, change) {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      change();
      this.publish();
    }, delayMs);
    this.#timers.add(timer);
  }

  stop() {
    for (const timer of this.#timers) clearTimeout(timer);
    super.stop();
  }

  /** Requests that it works on. */
  running = 0;
  /** Part of a prompt on which it crashes as it begins to write. */
  deadlyPart;
  onCrash = () => {};

  async serve({ request, response, callId }) {
    const isServing = this.group?.state === "open" &&
      this.group.members[0] === this.id;
    const arrival = { callId, atMs: performance.now(), hasBegun: false };
    this.arrivals.push(arrival);
    if (!isServing) {
      this.reject(response, callId, 421);
      return;
    }
    const { bornAt } = this;
    const prompt = String(request.headers["prompt-prefix"]);
    const [tokens] = String(request.headers["token-count"]).split(",");
    this.running += 1;
    // The prompt is read, and the first step made, with the figures of the config.
    await sleep(
      Number(tokens) / READ_PER_MS + STEP_MS + PER_SEQ_MS * this.running,
    );
    if (this.bornAt !== bornAt || !this.isAlive) return;
    arrival.hasBegun = true;
    this.run(callId, request);
    if (
      prompt.split(",").some((part) => part.split(":")[0] === this.deadlyPart)
    ) {
      this.onCrash(this, callId);
      return;
    }
    response.writeHead(200, {
      ...this.answerHeaders(callId),
      "server-stamp": `stamp-${this.id}`,
      "content-type": "text/event-stream",
      "replica-load": `${this.running},0,8`,
    });
    const [, answerTokens] = String(request.headers["token-count"]).split(",");
    const events = Math.ceil(Number(answerTokens) / STRIDE);
    for (let event = 0; event < events; event++) {
      if (response.destroyed || this.bornAt !== bornAt || !this.isAlive) break;
      response.write(`id: ${event}\ndata: ${callId} ${event}\n\n`);
      await sleep(STRIDE * STEP_MS);
    }
    if (this.bornAt !== bornAt) return;
    this.running -= 1;
    if (this.isAlive) response.end();
  }
}
