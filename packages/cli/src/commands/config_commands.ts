import { type AdminClient, loadConfigFolder } from "celerytray";
import { Command, Option } from "clipanion";
import { Effect } from "effect";
import { userInfo } from "node:os";
import { stringify } from "yaml";
import { setTimeout as sleep } from "node:timers/promises";
import { formatVersions } from "./config_version_commands.ts";
import {
  CommandFailure,
  type CommandOutput,
  OperatorCommand,
} from "./operator_command.ts";

const POLL_INTERVAL_MS = 200;
const DEFAULT_WAIT_SECONDS = 10;

/** Publishes a folder. */
export class ConfigApplyCommand extends OperatorCommand {
  static override paths = [["config", "apply"]];
  static override usage = Command.Usage({
    description: "Check a folder and put it in force",
  });
  folder = Option.String();
  refines = Option.String("--refines", {
    description: "Version that the folder refines; the one in force if absent",
  });

  wait = Option.Boolean("--wait", false, {
    description: "Wait until all entry instances have it; name those without",
  });
  waitSeconds = Option.String("--wait-seconds", String(DEFAULT_WAIT_SECONDS), {
    description: "Longest wait",
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

  /** Fails with the entry instances that don't have it in time. */
  async #waitForAll(client: AdminClient, version: number) {
    const deadlineMs = Date.now() + Number(this.waitSeconds) * 1_000;
    while (true) {
      const entries = await client.configVersions.query();
      const missing = entries.filter((entry) =>
        entry.version === undefined || entry.version < version
      );
      if (missing.length === 0) return entries;
      if (Date.now() >= deadlineMs) {
        throw new CommandFailure(
          `Version ${version} is accepted, but not known to be in force on ${missing.length} of ${entries.length} entry instances; check them:\n${
            formatVersions(missing)
          }`,
        );
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

/** Checks a folder without an entry instance. */
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
      onFailure: (rejected) => {
        this.context.stderr.write(`${rejected.message}\n`);
        return 1;
      },
    }));
    return await Effect.runPromise(checked);
  }
}

/** Shows the configuration in force. */
export class ConfigShowCommand extends OperatorCommand {
  static override paths = [["config", "show"]];
  static override usage = Command.Usage({
    description: "Show the configuration in force",
  });

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const shown = await client.showConfig.query();
    const since = new Date(shown.acceptedAtMs).toISOString();
    const head = `# version ${shown.version} by ${shown.author} since ${since}`;
    return { value: shown, text: `${head}\n${stringify(shown.config)}` };
  }
}
