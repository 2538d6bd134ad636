import { type AdminClient, loadConfigFolder } from "celerytray";
import { Command, Option } from "clipanion";
import { Effect } from "effect";
import { userInfo } from "node:os";
import { stringify } from "yaml";
import { setTimeout as sleep } from "node:timers/promises";
import { formatVersions } from "./config_version_commands.ts";
import {
  CommandError,
  type CommandOutput,
  OperatorCommand,
} from "./operator_command.ts";

const POLL_INTERVAL_MS = 200;
const DEFAULT_WAIT_SECONDS = 10;

export class ConfigApplyCommand extends OperatorCommand {
  static override paths = [["config", "apply"]];
  static override usage = Command.Usage({
    description: "Check a folder and publish it",
  });
  folder = Option.String();
  refines = Option.String("--refines", {
    description:
      "Version that the folder is based on; the one in force if absent",
  });

  wait = Option.Boolean("--wait", false, {
    description:
      "Wait until all entry instances have the version; list those without it",
  });
  waitSeconds = Option.String("--wait-seconds", String(DEFAULT_WAIT_SECONDS), {
    description: "Longest wait in seconds",
  });

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const { config } = await Effect.runPromise(loadConfigFolder(this.folder));
    const published = await client.applyConfig.mutate({
      config,
      author: userInfo().username,
      refinesVersion: this.refines === undefined
        ? undefined
        : Number(this.refines),
    });
    const text = published.changed
      ? `Version ${published.version} is in force`
      : `Nothing changed; version ${published.version} stays in force`;
    if (!this.wait) return { value: published, text };
    const entries = await this.#waitForAll(client, published.version);
    return {
      value: { ...published, entries },
      text: `${text} on all ${entries.length} entry instances`,
    };
  }

  /**
   * Waits until all entry instances have a version. Fails on timeout with the
   * entry instances that lack it.
   */
  async #waitForAll(client: AdminClient, version: number) {
    const deadlineMs = Date.now() + Number(this.waitSeconds) * 1_000;
    while (true) {
      const entries = await client.configVersions.query();
      const missing = entries.filter((entry) =>
        entry.version === undefined || entry.version < version
      );
      if (missing.length === 0) return entries;
      if (Date.now() >= deadlineMs) {
        throw new CommandError(
          `Version ${version} is accepted, but not known to be in force on ${missing.length} of ${entries.length} entry instances; check them:\n${
            formatVersions(missing)
          }`,
        );
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

/** Checks a folder locally, without contacting an entry instance. */
export class ConfigCheckCommand extends Command {
  static override paths = [["config", "check"]];
  static override usage = Command.Usage({
    description: "Check a folder and print its problems",
  });
  folder = Option.String();

  async execute(): Promise<number> {
    const checked = loadConfigFolder(this.folder).pipe(Effect.match({
      onSuccess: () => {
        this.context.stdout.write("The folder is valid\n");
        return 0;
      },
      onFailure: (error) => {
        this.context.stderr.write(`${error.message}\n`);
        return 1;
      },
    }));
    return await Effect.runPromise(checked);
  }
}

export class ConfigShowCommand extends OperatorCommand {
  static override paths = [["config", "show"]];
  static override usage = Command.Usage({
    description: "Show the configuration in force",
  });

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const shown = await client.showConfig.query();
    const since = new Date(shown.acceptedAtMs).toISOString();
    const heading =
      `# version ${shown.version} by ${shown.author} since ${since}`;
    return { value: shown, text: `${heading}\n${stringify(shown.config)}` };
  }
}
