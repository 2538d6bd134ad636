/**
 * Stand-ins of the platform's store and of plain replicas, after PROTOCOL.md,
 * and the start of the program as the deploy file says. Loopback only.
 */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const HOST = "127.0.0.1";
const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** Listens on a free loopback port; resolves to IP:PORT. */
export function listen(server) {
  return new Promise((resolve) =>
    server.listen(0, HOST, () => resolve(`${HOST}:${server.address().port}`))
  );
}

/** Returns loopback addresses that were free a moment ago. */
export async function findFreePorts(count) {
  const servers = Array.from({ length: count }, () => createTcpServer());
  const ports = [];
  for (const server of servers) {
    ports.push(Number((await listen(server)).split(":")[1]));
  }
  await Promise.all(
    servers.map((server) => new Promise((done) => server.close(done))),
  );
  return ports;
}

/** The store: a log with keyed topics. */
export class Store {
  constructor() {
    this.topics = new Map();
    this.waiting = new Set();
    this.server = createServer((request, response) =>
      this.#handle(request, response)
    );
    this.server.keepAliveTimeout = 60_000;
  }

  start() {
    return listen(this.server);
  }

  topic(name) {
    if (!this.topics.has(name)) this.topics.set(name, []);
    return this.topics.get(name);
  }

  /** Appends a record as the operator or a replica does. */
  append(topicName, key, value) {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      value === undefined ? Buffer.alloc(0) : Buffer.from(value),
    ]);
    this.topic(topicName).push(content);
    this.#wake();
  }

  #wake() {
    for (const wake of [...this.waiting]) wake();
  }

  async #handle(request, response) {
    const body = [];
    for await (const chunk of request) body.push(chunk);
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const name = query.get("topic");
    const call = `${request.method} ${url.pathname}`;
    await new Promise((done) => setTimeout(done, 4));
    if (call === "POST /log-append") {
      return this.#append(response, {
        name,
        query,
        body: Buffer.concat(body),
      });
    }
    if (call === "GET /log-newest") return this.#newest(response, name);
    if (call === "GET /log-read") return this.#read(response, { name, query });
    response.writeHead(404).end();
  }

  #append(response, { name, query, body }) {
    const records = this.topic(name);
    const at = query.get("at");
    if (at !== null && Number(at) !== records.length) {
      return answerJson(response, 412, { end: records.length });
    }
    const offset = records.length;
    for (let position = 0; position < body.length;) {
      const length = body.readUInt32BE(position);
      records.push(body.subarray(position + 4, position + 4 + length));
      position += 4 + length;
    }
    answerJson(response, 200, { offset, end: records.length });
    this.#wake();
  }

  #newest(response, name) {
    const records = this.topic(name);
    const newest = new Map();
    for (const [offset, content] of records.entries()) {
      const keyEnd = 1 + content[0];
      const key = content.subarray(1, keyEnd).toString();
      if (content.length === keyEnd) newest.delete(key);
      else newest.set(key, { offset, value: content.subarray(keyEnd) });
    }
    const items = [...newest].map(([key, { offset, value }]) => ({
      key,
      value: value.toString("base64"),
      offset,
    }));
    answerJson(response, 200, { items, has_more: false, end: records.length });
  }

  async #read(response, { name, query }) {
    const from = Number(query.get("from"));
    const untilMs = Date.now() + Number(query.get("wait_ms") ?? 0);
    while (this.topic(name).length <= from && Date.now() < untilMs) {
      await new Promise((resolve) => {
        const timer = setTimeout(() => wake(), untilMs - Date.now());
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        this.waiting.add(wake);
      });
    }
    const records = this.topic(name);
    if (from > records.length) return answerJson(response, 410, { first: 0 });
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const parts = records.slice(from).flatMap((content) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      return [length, content];
    });
    response.writeHead(200, { "content-type": "application/octet-stream" });
    response.end(Buffer.concat([head, ...parts]));
  }
}

function answerJson(response, status, value) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

/** A sound replica of a plain service, which notes what it runs. */
export class PlainReplica {
  constructor({ id, workMs = 15, slots = 6, record }) {
    Object.assign(this, { id, workMs, slots, record });
    this.runs = [];
    this.server = createServer((request, response) =>
      this.#handle(request, response)
    );
  }

  start() {
    return listen(this.server);
  }

  async #handle(request, response) {
    const expected = request.headers["expect-instance"];
    const callId = request.headers["attempt-id"] ?? "";
    const common = { "Attempt-Id": callId, "Replica-Id": this.id };
    let bytes = 0;
    for await (const chunk of request) bytes += chunk.length;
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...common, "Not-Executed": "1" }).end();
      return;
    }
    if (request.url === "/health" || request.url === "/report") {
      response.writeHead(200, common).end("{}");
      return;
    }
    this.runs.push({ callId, atMs: Date.now() });
    this.record?.(`run ${this.id} ${callId} ${request.method} ${request.url}`);
    await new Promise((done) => setTimeout(done, this.workMs));
    response.writeHead(200, {
      ...common,
      "Server-Stamp": `${this.id}.${bytes}`,
    });
    response.end(`done ${callId}`);
  }
}

/** A sound replica of a model, a group of one; it streams its answers. */
export class ModelReplica {
  constructor(options) {
    const { store, service, id, zone, record, events = 5 } = options;
    Object.assign(this, { store, service, id, zone, record, events });
    /** Part of a prompt on which it crashes as it begins to write. */
    this.deadlyPart = options.deadlyPart;
    this.onCrash = options.onCrash;
    this.readMs = options.readMs ?? 0;
    this.staged = options.staged ?? [];
    this.sequence = 0;
    this.models = [];
    this.group = undefined;
    this.isAlive = true;
    this.born = Date.now();
    this.server = createServer(
      { maxHeaderSize: 65_536 },
      (request, response) => this.#handle(request, response),
    );
    // It takes any number of header fields, as the pages bound only bytes.
    this.server.maxHeadersCount = 0;
    this.sockets = new Set();
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
  }

  async start() {
    this.address = await listen(this.server);
    this.#publish();
  }

  /** Ends at once and resets all channels; its entry lapses later. */
  crash() {
    this.isAlive = false;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    setTimeout(() => this.store.append("keyed.servers", this.id), 3_600);
    this.onCrash?.(this);
  }

  #publish() {
    if (!this.isAlive) return;
    this.store.append(
      "keyed.servers",
      this.id,
      JSON.stringify({
        service: this.service,
        address: this.address,
        zone: this.zone,
        version: 1,
        slots: 18,
        state: "ready",
        cold_remaining_ms: 0,
        domain: "domain-1",
        staged: [...this.staged, ...this.models.map(({ name }) => name)],
        ...this.#describe(),
      }),
    );
  }

  #describe() {
    return {
      stage: "unified",
      models: this.models,
      sequence: this.sequence,
      born: this.born,
      ...(this.group === undefined ? {} : { group: this.group }),
    };
  }

  async #handle(request, response) {
    const body = [];
    for await (const chunk of request) body.push(chunk);
    const callId = request.headers["attempt-id"] ?? "";
    const common = { "Attempt-Id": callId, "Replica-Id": this.id };
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...common, "Not-Executed": "1" }).end();
    } else if (request.url === "/order") {
      const status = this.#obey(JSON.parse(Buffer.concat(body).toString()));
      response.writeHead(status, common).end();
    } else if (request.method === "GET") {
      const answer = {
        ...this.#describe(),
        busy: false,
        queued: 0,
        running: 0,
        kv_used: 0,
        kv_total: 90_000,
        handles: 0,
      };
      response.writeHead(200, { "Content-Type": "application/json" });
      response.end(JSON.stringify(answer));
    } else if (this.group?.state !== "open") {
      response.writeHead(421, { ...common, "Not-Executed": "1" }).end();
    } else await this.#stream(request, response, common);
  }

  #obey({ op, group: name, epoch, model }) {
    const isSame = this.group?.name === name && this.group?.epoch === epoch;
    if (op === "join") {
      if (isSame) return 200;
      if (epoch < (this.group?.epoch ?? 0)) return 412;
      const group = { name, epoch, rank: 0, state: "joining" };
      this.#change(group);
      setTimeout(() => {
        if (this.group !== group) return;
        this.models = [{ name: model, version: 1, adapters: [] }];
        this.#change({ ...group, state: "ready" });
      }, 200);
      return 202;
    }
    if (op === "stage") return 200;
    if (!isSame) return 409;
    if (op === "open") this.#change({ ...this.group, state: "open" });
    else if (op === "close") this.#change({ ...this.group, state: "ready" });
    else this.#change(undefined);
    return 202;
  }

  #change(group) {
    this.group = group;
    this.sequence += 1;
    this.#publish();
  }

  async #stream(request, response, common) {
    this.record?.(request, this);
    await new Promise((done) => setTimeout(done, this.readMs));
    if (!this.isAlive) return;
    const parts = request.headers["prompt-prefix"] ?? "";
    if (this.deadlyPart !== undefined && parts.includes(this.deadlyPart)) {
      this.crash();
      return;
    }
    this.onBegin?.(request);
    response.writeHead(200, {
      ...common,
      "Content-Type": "text/event-stream",
      "Server-Stamp": `${this.id}.${this.sequence}`,
    });
    const after = request.headers["last-event-id"];
    const first = after === undefined ? 0 : Number(after) + 1;
    for (let id = first; id < this.events; id++) {
      await new Promise((done) => setTimeout(done, 20));
      response.write(`id: ${id}\ndata: piece ${id}\n\n`);
    }
    response.end();
  }
}

/** Starts a sound replica and keeps its entry in the store. */
export async function startPlainReplica(store, { service, id, zone, record }) {
  const replica = new PlainReplica({ id, record });
  const address = await replica.start();
  const born = Date.now();
  store.append(
    "keyed.servers",
    id,
    JSON.stringify({
      service,
      address,
      zone,
      version: 1,
      slots: replica.slots,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: 0,
      born,
    }),
  );
  return replica;
}

/** Reads the words of the deploy file's `run` line. */
function readRunLine() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"$/m.exec(text)[1].split(" ");
}

const folder = mkdtempSync(join(tmpdir(), "review-2-"));
process.once("exit", () => rmSync(folder, { recursive: true, force: true }));

/** Starts the program with the command of the deploy file. */
export async function startProgram(
  { name, zone, storeAddress, settings = {} },
) {
  const [front, ready, control, peer, metrics] = await findFreePorts(5);
  const file = join(folder, `${name}.conf`);
  const fields = {
    node_name: name,
    role: "entry",
    machine_class: "front",
    serves: "front",
    ip: HOST,
    zone,
    region: "region",
    [`zones.${zone}`]: "region",
    "listen.front": `${HOST}:${front}`,
    "listen.ready": `${HOST}:${ready}`,
    "listen.control": `${HOST}:${control}`,
    internal_ports: `${peer},${metrics}`,
    bootstrap: "true",
    "limits.cpu_share": 0.675,
    "limits.cores": 1,
    "limits.memory_mb": 350,
    "limits.max_fds": 4200,
    heartbeat_ms: 1200,
    "bounds.stable_window_ms": 3000,
    "bounds.drain_ms": 2000,
    "bounds.grace_s": 8,
    "bounds.config_apply_ms": 2000,
    "bounds.revoke_ms": 5000,
    "bounds.retry_ratio": 0.2,
    "bounds.retry_window_s": 10,
    "bounds.retry_slack": 132,
    "bounds.stall_ms": 6000,
    "bounds.require_fence": true,
    "platform.address": storeAddress,
    "platform.form": "log",
    ...settings,
  };
  writeFileSync(
    file,
    Object.entries(fields).map(([key, value]) => `${key}=${value}\n`).join(""),
  );
  const [, ...words] = readRunLine();
  const child = spawn(process.execPath, words, {
    cwd: ROOT,
    env: { PATH: process.env.PATH, CELERYTRAY_BOOT: file },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const log = { text: "" };
  for (const stream of [child.stdout, child.stderr]) {
    stream.on("data", (bytes) => log.text += bytes);
  }
  const program = {
    name,
    child,
    log,
    front,
    ready,
    peer,
    metrics,
    exit: undefined,
  };
  child.once(
    "exit",
    (code, signal) => program.exit = { code, signal, atMs: Date.now() },
  );
  return program;
}

/** Waits until the program tells that it is ready. */
export async function awaitReady(program, timeoutMs = 20_000) {
  const untilMs = Date.now() + timeoutMs;
  while (Date.now() < untilMs) {
    const status = await fetch(`http://${HOST}:${program.ready}/ready`)
      .then((response) => response.status).catch(() => 0);
    if (status === 200) return;
    await new Promise((done) => setTimeout(done, 100));
  }
  throw new Error(`${program.name} was not ready in time`);
}

/** Peak and present resident memory in MB; undefined once it has ended. */
export function readMemory(program) {
  try {
    const text = readFileSync(`/proc/${program.child.pid}/status`, "utf8");
    const read = (name) =>
      Math.round(
        Number(new RegExp(`^${name}:\\s+(\\d+) kB$`, "m").exec(text)?.[1]) /
          1024,
      );
    return { peakMb: read("VmHWM"), nowMb: read("VmRSS") };
  } catch {
    return undefined;
  }
}

/** Returns a function that writes lines with the time to a record. */
export function createRecord(file) {
  writeFileSync(file, "");
  const startedAtMs = Date.now();
  return (line) =>
    appendFileSync(
      file,
      `${((Date.now() - startedAtMs) / 1000).toFixed(3)} ${line}\n`,
    );
}
