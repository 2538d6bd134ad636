import {
  awaitSignalHandlers,
  type HostProcess,
  startHostProcess,
} from "@celerytray/cli";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";

const GRACE_S = 8;
/** Time that a process has from SIGTERM to its end. */
export const GRACE_MS = GRACE_S * 1_000;
const EXIT_MARGIN_MS = 2_000;
const READY_TIMEOUT_MS = 900;
/** Misses in a row after which the platform sends no new connections. */
const MAX_MISSES = 2;

/** Settings of the deployment's shape. */
const SETTINGS = {
  "bounds.grace_s": GRACE_S,
  "bounds.retry_ratio": 0.2,
  "bounds.retry_slack": 132,
  "limits.memory_mb": 350,
  "limits.max_fds": 4_200,
};

/** An entry process, which may be restarted. */
export class EntryProcess {
  readonly name: string;
  readonly zone: string;
  readonly program: string;
  /** Logs of all its runs. */
  readonly logs: (() => string)[] = [];
  /** Unix times at which it got SIGTERM. */
  readonly stoppedAtMs: number[] = [];
  readonly #storeAddress: string;
  #current: HostProcess | undefined;
  #misses = MAX_MISSES;

  constructor(options: {
    readonly name: string;
    readonly zone: string;
    readonly program: string;
    readonly storeAddress: string;
  }) {
    this.name = options.name;
    this.zone = options.zone;
    this.program = options.program;
    this.#storeAddress = options.storeAddress;
  }

  get address(): string {
    return this.#current!.address;
  }

  /** Whether the platform sends it new connections. */
  get isInRotation(): boolean {
    return this.#misses < MAX_MISSES;
  }

  async start(): Promise<void> {
    const previous = this.#current;
    await previous?.remove();
    const started = await startHostProcess({
      nodeId: this.name,
      zone: this.zone,
      storeAddress: this.#storeAddress,
      program: this.program,
      settings: SETTINGS,
      ...(previous === undefined ? {} : { addresses: previous.addresses }),
    });
    this.logs.push(started.log);
    // Before it handles signals, they meet the start of the runtime.
    await awaitSignalHandlers(started.child.pid);
    this.#current = started;
  }

  /** Asks whether it is ready, as the platform does each second. */
  async checkReady(): Promise<void> {
    const isReady = await fetch(`http://${this.#current!.readyAddress}/ready`, {
      signal: AbortSignal.timeout(READY_TIMEOUT_MS),
    }).then(({ status }) => status === 200).catch(() => false);
    this.#misses = isReady ? 0 : this.#misses + 1;
  }

  reload(): void {
    this.#current!.child.kill("SIGHUP");
  }

  async pause(durationMs: number): Promise<void> {
    const { child } = this.#current!;
    child.kill("SIGSTOP");
    await sleep(durationMs);
    child.kill("SIGCONT");
  }

  /** Ends it with SIGTERM and starts it anew; returns its exit code. */
  async restart(): Promise<string> {
    const { child } = this.#current!;
    this.stoppedAtMs.push(Date.now());
    const exited = once(child, "exit");
    child.kill("SIGTERM");
    const how = await Promise.race([
      exited,
      sleep(GRACE_MS + EXIT_MARGIN_MS, undefined, { ref: false }),
    ]);
    await this.start();
    return how === undefined ? "not in time" : how.join();
  }

  async stop(): Promise<void> {
    await this.#current?.remove();
  }
}
