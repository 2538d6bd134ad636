import { type HostProcess, startHostProcess, waitUntil } from "@celerytray/cli";
import { once } from "node:events";
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { bounds } from "./checks.ts";
import type { SoakHistory } from "./history.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";

/** The program that a soak runs as each process. */
export interface SoakProgram {
  readonly path: string;
  readonly environment?: Readonly<Record<string, string>>;
}

interface SoakProcessOptions {
  readonly name: string;
  readonly zone: string;
  readonly program: SoakProgram;
  readonly storeAddress: string;
  readonly history: SoakHistory;
}

const GRACE_S = 8;
const START_TIMEOUT_MS = 20_000;
/** Time after the grace within which a process is gone. */
const EXIT_MARGIN_MS = 2_000;
/**
 * The platform's entry sends no new connections to a process that stops after
 * 3 s at the latest; open ones are used until the process is gone.
 */
const ENTRY_NOTICE_MS = 2_500;

/** A process between a proxy for its callers and one for its store. */
export class SoakProcess {
  readonly name: string;
  readonly callers: LoopbackProxy;
  readonly store: LoopbackProxy;
  /** Logs of all its lives. */
  readonly logs: (() => string)[] = [];
  /** Where its callers send to. */
  callerAddress = "";
  readonly #options: SoakProcessOptions;
  #current: HostProcess | undefined;
  #storeAddress = "";
  #standstill: Promise<unknown> = Promise.resolve();
  /** The signal that it was told to end by. */
  #told: NodeJS.Signals | undefined;

  constructor(options: SoakProcessOptions) {
    this.name = options.name;
    this.#options = options;
    this.store = new LoopbackProxy(options.storeAddress);
    this.callers = new LoopbackProxy("");
  }

  /** Starts it; a second life has the addresses of the first. */
  async start(): Promise<void> {
    if (this.#storeAddress === "") {
      this.#storeAddress = await this.store.start();
      this.callerAddress = await this.callers.start();
    }
    const previous = this.#current;
    await previous?.remove();
    this.#told = undefined;
    const started = await startHostProcess({
      nodeId: this.name,
      zone: this.#options.zone,
      storeAddress: this.#storeAddress,
      program: this.#options.program.path,
      settings: {
        "bounds.grace_s": GRACE_S,
        "bounds.revoke_ms": bounds.keyRevocationMs,
        "bounds.evacuate_ms": bounds.evacuationMs,
        "bounds.cold_overshoot": bounds.coldOvershoot,
        "bounds.cold_slack": bounds.coldSlackRequests,
        "limits.memory_mb": bounds.memoryMb,
      },
      environment: this.#options.program.environment ?? {},
      ...(previous === undefined ? {} : { addresses: previous.addresses }),
    });
    this.#current = started;
    this.callers.upstream = started.address;
    this.logs.push(started.log);
    started.child.once("exit", (code, signal) => {
      const isExpected = this.#told === "SIGKILL" ||
        (this.#told === "SIGTERM" && code === 0);
      this.#noteExit(`code ${code}, signal ${signal}`, isExpected);
    });
  }

  /** Waits until it answers at all, be it with a refusal. */
  async waitUntilAnswering(): Promise<void> {
    const address = this.#current?.address;
    await waitUntil(`${this.name} to answer`, {
      timeoutMs: START_TIMEOUT_MS,
      check: async () => (await fetch(`http://${address}/`)).status > 0,
    });
  }

  get isRunning(): boolean {
    const child = this.#current?.child;
    return child?.exitCode === null && child.signalCode === null &&
      this.#told === undefined;
  }

  /** Ends it as a planned stop does, and starts it anew. */
  async terminate(): Promise<void> {
    const end = this.#disturb("terminate");
    const refuse = () => this.callers.takesNew = false;
    const entry = setTimeout(refuse, ENTRY_NOTICE_MS);
    await this.#end("SIGTERM", GRACE_S * 1_000 + EXIT_MARGIN_MS);
    clearTimeout(entry);
    this.callers.takesNew = true;
    await this.start();
    end();
  }

  /** Ends it at once, and starts it anew after a time. */
  async kill(forMs: number): Promise<void> {
    const end = this.#disturb("kill");
    await this.#end("SIGKILL", EXIT_MARGIN_MS);
    await sleep(forMs);
    await this.start();
    end();
  }

  /** Lets it stand still for a time. */
  async pause(forMs: number): Promise<void> {
    const end = this.#disturb("pause");
    const child = this.#current?.child;
    child?.kill("SIGSTOP");
    this.#standstill = sleep(forMs);
    await this.#standstill;
    child?.kill("SIGCONT");
    end();
  }

  /** Notes the memory that it holds. */
  async measure(): Promise<void> {
    const child = this.#current?.child;
    if (!this.isRunning || child?.pid === undefined) return;
    // A process that has just ended has no file, or one without this line.
    const status = await readFile(`/proc/${child.pid}/status`, "utf8")
      .catch(() => "");
    const [, rssKb = 0] = /^VmRSS:\s+(\d+) kB/m.exec(status) ?? [];
    const rssMb = Number(rssKb) / 1_024;
    this.#options.history.memory.push({ process: this.name, rssMb });
  }

  /** Ends it and its proxies. */
  async stop(): Promise<void> {
    this.#told = "SIGKILL";
    await this.#current?.remove();
    this.callers.stop();
    this.store.stop();
  }

  async #end(signal: NodeJS.Signals, timeoutMs: number): Promise<void> {
    const child = this.#current!.child;
    this.#told = signal;
    const exited = once(child, "exit");
    child.kill(signal);
    // A process that stands still can't end; its time begins after that.
    await Promise.race([exited, this.#standstill]);
    const isGone = await Promise.race([
      exited.then(() => true),
      sleep(timeoutMs, false, { ref: false }),
    ]);
    if (!isGone) {
      this.#noteExit(`not within ${timeoutMs} ms of ${signal}`, false);
    }
  }

  #noteExit(how: string, isExpected: boolean): void {
    const { history } = this.#options;
    history.exits.push({ process: this.name, how, isExpected });
  }

  #disturb(fault: string): () => void {
    return this.#options.history.disturb(
      { kind: "process", name: this.name },
      fault,
    );
  }
}
