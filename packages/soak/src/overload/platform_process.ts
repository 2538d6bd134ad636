import type { createFakeConfig } from "@celerytray/fakes";
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { OverloadOptions } from "./overload_options.ts";
import type { PlatformCommand, PlatformReport } from "./platform_messages.ts";

const PROGRAM = fileURLToPath(new URL("./platform_main.js", import.meta.url));

type Report<Kind> = Extract<PlatformReport, { readonly kind: Kind }>;

/** The platform in a process of its own. */
export class PlatformProcess {
  readonly #child: ChildProcess = fork(PROGRAM);

  /** Starts it; returns the address of its store. */
  async start(options: OverloadOptions): Promise<string> {
    this.#send({ kind: "start", options });
    return (await this.#receive("started")).storeAddress;
  }

  publishConfig(config: ReturnType<typeof createFakeConfig>): void {
    this.#send({ kind: "publish", config });
  }

  /** Returns how many replicas serve. */
  async countHeads(): Promise<number> {
    this.#send({ kind: "count-heads" });
    return (await this.#receive("heads")).count;
  }

  disturb(): void {
    this.#send({ kind: "disturb" });
  }

  async finish(): Promise<Report<"finished">> {
    this.#send({ kind: "finish" });
    return await this.#receive("finished");
  }

  stop(): void {
    this.#child.kill("SIGKILL");
  }

  #send(command: PlatformCommand): void {
    this.#child.send(command);
  }

  #receive<Kind extends PlatformReport["kind"]>(
    kind: Kind,
  ): Promise<Report<Kind>> {
    return new Promise((resolve) => {
      const listen = (report: PlatformReport) => {
        if (report.kind !== kind) return;
        this.#child.off("message", listen);
        resolve(report as Report<Kind>);
      };
      this.#child.on("message", listen);
    });
  }
}
