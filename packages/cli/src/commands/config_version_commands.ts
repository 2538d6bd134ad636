import {
  type AdminClient,
  createConfigPatch,
  type EntryVersion,
  listPatchFields,
  loadConfigFolder,
} from "celerytray";
import { Command, Option, UsageError } from "clipanion";
import { Effect } from "effect";
import { userInfo } from "node:os";
import {
  type CommandOutput,
  formatTable,
  OperatorCommand,
} from "./operator_command.ts";

/** Compares a folder with the configuration in force. */
export class ConfigDiffCommand extends OperatorCommand {
  static override paths = [["config", "diff"]];
  static override usage = Command.Usage({
    description: "Show what a folder would change and the file of each change",
  });
  folder = Option.String();

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const [loaded, shown] = await Promise.all([
      Effect.runPromise(loadConfigFolder(this.folder)),
      client.showConfig.query(),
    ]);
    const { drains: _drains, ...currentConfig } = shown.config;
    const patch = createConfigPatch(currentConfig, loaded.config) ?? {};
    const changes = listPatchFields(patch).map(({ field, value }) => ({
      field,
      value,
      file: loaded.merged.sources.get(field) ?? "",
    }));
    const rows = changes.map(({ field, value, file }) => [
      field,
      value === null ? "(removed)" : JSON.stringify(value),
      file === "" ? "(in no file)" : file,
    ]);
    const text = rows.length === 0
      ? `The folder is equal to version ${shown.version}`
      : formatTable(["FIELD", "NEW VALUE", "FILE"], rows);
    return { value: { version: shown.version, changes }, text };
  }
}

export class ConfigHistoryCommand extends OperatorCommand {
  static override paths = [["config", "history"]];
  static override usage = Command.Usage({
    description: "List the latest versions with their authors and changes",
  });

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const history = await client.configHistory.query();
    const text = formatTable(
      ["VERSION", "SINCE", "AUTHOR", "CHANGES"],
      history.map(({ version, acceptedAtMs, author, changes }) => [
        version,
        new Date(acceptedAtMs).toISOString(),
        author,
        changes ?? "(not kept)",
      ]),
    );
    return { value: history, text };
  }
}

/** Publishes the content of an earlier version as a new version. */
export class ConfigRollbackCommand extends OperatorCommand {
  static override paths = [["config", "rollback"]];
  static override usage = Command.Usage({
    description: "Put an earlier version in force again, as a new version",
  });
  version = Option.String();

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const version = Number(this.version);
    if (!Number.isSafeInteger(version)) {
      throw new UsageError(
        "The version must be an integer; config history lists the versions",
      );
    }
    const published = await client.rollbackConfig.mutate({
      version,
      author: userInfo().username,
    });
    const text = published.changed
      ? `Version ${published.version} is in force with the content of version ${version}`
      : `Nothing changed; version ${published.version} has the same content`;
    return { value: published, text };
  }
}

export class ConfigVersionsCommand extends OperatorCommand {
  static override paths = [["config", "versions"]];
  static override usage = Command.Usage({
    description: "List the version in force on each entry instance",
  });

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const versions = await client.configVersions.query();
    return { value: versions, text: formatVersions(versions) };
  }
}

/** Formats versions as a table with one row per entry instance. */
export function formatVersions(versions: readonly EntryVersion[]): string {
  return formatTable(
    ["INSTANCE", "VERSION", "SINCE", "PROBLEM"],
    versions.map(({ instanceId, version, acceptedAtMs, problem }) => [
      instanceId,
      version ?? "unknown",
      acceptedAtMs === undefined ? "" : new Date(acceptedAtMs).toISOString(),
      problem ?? "",
    ]),
  );
}
