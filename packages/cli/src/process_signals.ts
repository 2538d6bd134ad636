/**
 * Signals to this process. Created first of all, so that a signal that arrives
 * while the program is loaded neither ends the process nor is lost.
 */
export class ProcessSignals {
  /** Resolves once the process is asked to stop. */
  readonly stopped: Promise<void>;
  #isStopping = false;
  #onReload: (() => void) | undefined;
  #isReloadDue = false;

  constructor() {
    this.stopped = new Promise((resolve) => {
      const stop = () => {
        this.#isStopping = true;
        resolve();
      };
      process.on("SIGTERM", stop);
      process.on("SIGINT", stop);
    });
    process.on("SIGHUP", () => this.#reload());
  }

  /** Whether the process was asked to stop. */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /** Calls a function for each request to reload, also for one made earlier. */
  onReload(reload: () => void): void {
    this.#onReload = reload;
    if (this.#isReloadDue) this.#reload();
  }

  #reload(): void {
    this.#isReloadDue = this.#onReload === undefined;
    this.#onReload?.();
  }
}
