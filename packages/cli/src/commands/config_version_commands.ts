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

/** Shows what a folder would change. */
export class ConfigDiffCommand extends OperatorCommand {
  static override paths = [["config", "diff"]];
  static override usage = Command.Usage({
    description: "Show what a folder would change, and which file says so",
  });
  folder = Option.String();

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const [loaded, shown] = await Promise.all([
      Effect.runPromise(loadConfigFolder(this.folder)),
      client.showConfig.query(),
    ]);
    const { drains: _drains, ...inForce } = shown.config;
    const patch = createConfigPatch(inForce, loaded.config) ?? {};
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
      ? `The folder says what version ${shown.version} says`
      : formatTable(["FIELD", "NEW VALUE", "FILE"], rows);
    return { value: { version: shown.version, changes }, text };
  }
}

/** Lists the latest versions. */
export class ConfigHistoryCommand extends OperatorCommand {
  static override paths = [["config", "history"]];
  static override usage = Command.Usage({
    description: "List the latest versions, their authors and changes",
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

/** Puts an earlier version's content in force, as a new version. */
export class ConfigRollbackCommand extends OperatorCommand {
  static override paths = [["config", "rollback"]];
  static override usage = Command.Usage({
    description: "Put an earlier version in force again, as a new version",
  });
  version = Option.String();

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const version = Number(this.version);
    if (!Number.isSafeInteger(version)) {
      throw new UsageError("Name a version; see config history");
    }
    const published = await client.rollbackConfig.mutate({
      version,
      author: userInfo().username,
    });
    const text = published.changed
      ? `Version ${published.version} is in force with the content of version ${version}`
      : `Nothing changed; version ${published.version} says the same`;
    return { value: published, text };
  }
}

/** Lists the version in force on each entry instance. */
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

/** Lays out versions by entry instance. */
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
