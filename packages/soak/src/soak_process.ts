import {
  awaitSignalHandlers,
  type HostProcess,
  startHostProcess,
  waitUntil,
} from "@celerytray/cli";
import { LABEL_OPTIONS, LoopbackProxy } from "@celerytray/fakes";
import { once } from "node:events";
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { bounds } from "./bounds.ts";
import type { SoakHistory } from "./history.ts";

/** The program that each process runs. */
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
  readonly graceS?: number;
}

const DEFAULT_GRACE_S = 8;
/** A process that is suspended doesn't answer. */
const METRICS_TIMEOUT_MS = 500;
const LEADS = /^celerytray_leads_replicas 1$/m;
const START_TIMEOUT_MS = 20_000;
/** Time after the grace period in which a process must exit. */
const EXIT_MARGIN_MS = 2_000;
/**
 * The platform's entry stops sending new connections to a stopping process
 * after at most 3 s; open ones are used until the process exits.
 */
const ENTRY_REMOVAL_MS = 2_500;

/** A process behind a proxy for its callers, with a proxy to its store. */
export class SoakProcess {
  readonly name: string;
  readonly callers: LoopbackProxy;
  readonly store: LoopbackProxy;
  /** Logs of all its runs. */
  readonly logs: (() => string)[] = [];
  /** Address of the proxy for its callers. */
  callerAddress = "";
  readonly #options: SoakProcessOptions;
  #current: HostProcess | undefined;
  #storeAddress = "";
  #pauseEnd: Promise<unknown> = Promise.resolve();
  /** Signal that the soak sent to end it. */
  #sentSignal: NodeJS.Signals | undefined;

  constructor(options: SoakProcessOptions) {
    this.name = options.name;
    this.#options = options;
    this.store = new LoopbackProxy(options.storeAddress);
    this.callers = new LoopbackProxy("");
  }

  /** Starts it; a restart reuses the addresses. */
  async start(): Promise<void> {
    if (this.#storeAddress === "") {
      this.#storeAddress = await this.store.start();
      this.callerAddress = await this.callers.start();
    }
    const previous = this.#current;
    await previous?.remove();
    const started = await startHostProcess({
      nodeId: this.name,
      zone: this.#options.zone,
      storeAddress: this.#storeAddress,
      program: this.#options.program.path,
      settings: {
        "bounds.grace_s": this.#graceS,
        "bounds.config_apply_ms": bounds.configApplyMs,
        "bounds.revoke_ms": bounds.keyRevocationMs,
        "bounds.evacuate_ms": bounds.evacuationMs,
        "bounds.cold_overshoot": bounds.coldOvershoot,
        "bounds.cold_slack": bounds.coldSlackRequests,
        "limits.memory_mb": bounds.memoryMb,
      },
      environment: {
        NODE_OPTIONS: LABEL_OPTIONS,
        ...this.#options.program.environment,
      },
      ...(previous === undefined ? {} : { addresses: previous.addresses }),
    });
    // Before it handles signals, they meet the start of the runtime.
    await awaitSignalHandlers(started.child.pid);
    this.#sentSignal = undefined;
    this.#current = started;
    this.callers.upstream = started.address;
    this.logs.push(started.log);
    started.child.once("exit", (code, signal) => {
      const isExpected = this.#sentSignal === "SIGKILL" ||
        (this.#sentSignal === "SIGTERM" && code === 0);
      this.#recordExit(`code ${code}, signal ${signal}`, isExpected);
    });
  }

  /** Waits until it answers, with any status. */
  async waitUntilAnswering(): Promise<void> {
    const address = this.#current?.address;
    await waitUntil(`${this.name} to answer`, {
      timeoutMs: START_TIMEOUT_MS,
      check: async () => (await fetch(`http://${address}/`)).status > 0,
    });
  }

  get #graceS(): number {
    return this.#options.graceS ?? DEFAULT_GRACE_S;
  }

  get isRunning(): boolean {
    const child = this.#current?.child;
    return child?.exitCode === null && child.signalCode === null &&
      this.#sentSignal === undefined;
  }

  /** Id of its present run; undefined if it never ran. */
  get pid(): number | undefined {
    return this.#current?.child.pid;
  }

  /** Whether it is the leader, according to its metrics. */
  async leads(): Promise<boolean> {
    const signal = AbortSignal.timeout(METRICS_TIMEOUT_MS);
    const address = this.#current?.metricsAddress;
    const page = await fetch(`http://${address}/metrics`, { signal })
      .then((response) => response.text())
      .catch(() => "");
    return LEADS.test(page);
  }

  /** Stops it gracefully with SIGTERM and restarts it. */
  async terminate(): Promise<void> {
    const end = this.#beginFault("terminate");
    const refuseConnections = () => this.callers.acceptsConnections = false;
    const removalTimer = setTimeout(refuseConnections, ENTRY_REMOVAL_MS);
    await this.#signalAndWait(
      "SIGTERM",
      this.#graceS * 1_000 + EXIT_MARGIN_MS,
    );
    clearTimeout(removalTimer);
    this.callers.acceptsConnections = true;
    await this.start();
    end();
  }

  /** Kills it with SIGKILL and restarts it after a time. */
  async kill(durationMs: number): Promise<void> {
    const end = this.#beginFault("kill");
    await this.#signalAndWait("SIGKILL", EXIT_MARGIN_MS);
    await sleep(durationMs);
    await this.start();
    end();
  }

  /** Has it read its settings again, with SIGHUP. */
  reload(): void {
    this.#current?.child.kill("SIGHUP");
  }

  /** Kills and starts it, and has it reload at a moment of its start. */
  async reloadDuringStart(delayMs: number): Promise<void> {
    const end = this.#beginFault("reload-start");
    await this.#signalAndWait("SIGKILL", EXIT_MARGIN_MS);
    await this.start();
    await sleep(delayMs);
    this.reload();
    end();
  }

  /** Suspends it with SIGSTOP for a time. */
  async pause(durationMs: number): Promise<void> {
    const end = this.#beginFault("pause");
    const child = this.#current?.child;
    child?.kill("SIGSTOP");
    this.#pauseEnd = sleep(durationMs);
    await this.#pauseEnd;
    child?.kill("SIGCONT");
    end();
  }

  /** Records its resident memory. */
  async sampleMemory(): Promise<void> {
    const child = this.#current?.child;
    if (!this.isRunning || child?.pid === undefined) return;
    // The file is missing, or lacks this line, if the process has just exited.
    const status = await readFile(`/proc/${child.pid}/status`, "utf8")
      .catch(() => "");
    const [, rssKb = 0] = /^VmRSS:\s+(\d+) kB/m.exec(status) ?? [];
    const rssMb = Number(rssKb) / 1_024;
    this.#options.history.memorySamples.push({ process: this.name, rssMb });
  }

  /** Stops it and its proxies. */
  async stop(): Promise<void> {
    this.#sentSignal = "SIGKILL";
    await this.#current?.remove();
    this.callers.stop();
    this.store.stop();
  }

  async #signalAndWait(
    signal: NodeJS.Signals,
    timeoutMs: number,
  ): Promise<void> {
    const child = this.#current!.child;
    this.#sentSignal = signal;
    const exited = once(child, "exit");
    child.kill(signal);
    // A paused process can't exit; the timeout starts after the pause.
    await Promise.race([exited, this.#pauseEnd]);
    const isGone = await Promise.race([
      exited.then(() => true),
      sleep(timeoutMs, false, { ref: false }),
    ]);
    if (!isGone) {
      this.#recordExit(`not within ${timeoutMs} ms of ${signal}`, false);
    }
  }

  #recordExit(description: string, isExpected: boolean): void {
    const { history } = this.#options;
    history.exits.push({ process: this.name, description, isExpected });
  }

  #beginFault(fault: string): () => void {
    return this.#options.history.beginFault(
      { kind: "process", name: this.name },
      fault,
    );
  }
}
