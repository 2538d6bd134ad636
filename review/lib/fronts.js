/** Starts the program with the deploy file's `run` line, as the platform does. */
import { spawn } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
/** Settings like those of a small deployment. */
const SETTINGS = {
  role: "entry",
  machine_class: "front",
  serves: "front",
  region: "cascadia",
  "zones.cascadia-a": "cascadia",
  "zones.cascadia-b": "cascadia",
  "zones.cascadia-c": "cascadia",
  "limits.cpu_share": 0.675,
  "limits.cores": 1,
  "limits.memory_mb": 350,
  "limits.max_fds": 4200,
  heartbeat_ms: 1200,
  "bounds.stable_window_ms": 3000,
  "bounds.drain_ms": 2000,
  "bounds.grace_s": 8,
  "bounds.config_apply_ms": 2000,
  "bounds.max_stretch_ms": 5000,
  "bounds.fail_closed": true,
  "bounds.revoke_ms": 5000,
  "bounds.retry_ratio": 0.2,
  "bounds.retry_window_s": 10,
  "bounds.retry_slack": 132,
  "bounds.recovery_s": 12,
  "bounds.stall_ms": 6000,
  "bounds.require_fence": true,
  "platform.form": "log",
  "platform.writes_per_s": 400,
  "platform.reads_per_s": 2000,
};

/** Ports below those that the system hands out for outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_999;

/** Finds free ports that no outgoing connection can take meanwhile. */
async function findFreePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const range = LAST_PORT - FIRST_PORT + 1;
    const port = FIRST_PORT + Math.floor(Math.random() * range);
    const isFree = await new Promise((resolve) => {
      const server = createServer();
      server.once("error", () => resolve(false));
      server.listen(
        port,
        "127.0.0.1",
        () => server.close(() => resolve(true)),
      );
    });
    if (isFree) ports.add(port);
  }
  return [...ports];
}

async function readRunLine() {
  const deploy = await readFile(join(root, "deploy/system.toml"), "utf8");
  const [, line] = /^run = "([^"]*)"$/m.exec(deploy) ?? [];
  return line.split(" ");
}

/** A machine's process, which keeps its addresses over restarts. */
export class Front {
  #options;
  #ports;
  #folder;
  log = "";
  exits = [];

  constructor(options) {
    this.#options = options;
  }

  get name() {
    return this.#options.name;
  }

  async start() {
    const { name, zone, storeAddress, settings = {} } = this.#options;
    this.#ports ??= await findFreePorts(4);
    this.#folder ??= await mkdtemp(join(tmpdir(), "review-front-"));
    const [front, ready, peer, metrics] = this.#ports;
    const fields = {
      ...SETTINGS,
      node_name: name,
      ip: "127.0.0.1",
      zone,
      "listen.front": `127.0.0.1:${front}`,
      "listen.ready": `127.0.0.1:${ready}`,
      internal_ports: `${peer},${metrics}`,
      "platform.address": storeAddress,
      ...settings,
    };
    const path = join(this.#folder, "settings.conf");
    await writeFile(
      path,
      Object.entries(fields).map(([key, value]) => `${key}=${value}\n`).join(
        "",
      ),
    );
    const [command, ...args] = await readRunLine();
    const child = spawn(command === "node" ? process.execPath : command, args, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        CELERYTRAY_BOOT: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding("utf8").on("data", (text) => this.log += text);
    }
    child.once("exit", (code, signal) => this.exits.push({ code, signal }));
  }

  get address() {
    return `127.0.0.1:${this.#ports[0]}`;
  }

  async isReady() {
    try {
      const answer = await fetch(`http://127.0.0.1:${this.#ports[1]}/ready`);
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  /** Whether it leads, by its own metrics; undefined if it does not answer. */
  async isLeading() {
    try {
      const answer = await fetch(`http://127.0.0.1:${this.#ports[3]}/metrics`);
      return /^celerytray_leads_replicas 1$/m.test(await answer.text());
    } catch {
      return undefined;
    }
  }

  /** Sends SIGTERM, SIGKILL after the grace time, and starts it again. */
  async restart({ delayMs = 500 } = {}) {
    const { child } = this;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGTERM");
    const timer = setTimeout(() => child.kill("SIGKILL"), 8_000);
    await exited;
    clearTimeout(timer);
    await sleep(delayMs);
    await this.start();
  }

  async stop() {
    this.child?.kill("SIGKILL");
    if (this.#folder !== undefined) {
      await rm(this.#folder, { recursive: true, force: true });
    }
  }
}

/** Waits until a check holds; throws after a time. */
export async function waitUntil(what, check, timeoutMs = 20_000) {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    if (await check()) return;
    await sleep(25);
  }
  throw new Error(`${what}: not within ${timeoutMs} ms`);
}
