import { type AdminClient, DRAIN_KINDS } from "celerytray";
import { Command, Option, UsageError } from "clipanion";
import { userInfo } from "node:os";
import { type CommandOutput, OperatorCommand } from "./operator_command.ts";

abstract class DrainChangeCommand extends OperatorCommand {
  kind = Option.String();
  name = Option.String();

  protected abstract readonly isDrained: boolean;

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const kind = DRAIN_KINDS.find((known) => known === this.kind);
    if (kind === undefined) {
      throw new UsageError(
        `Unknown kind; use one of ${DRAIN_KINDS.join(", ")}`,
      );
    }
    const published = await client.drain.mutate({
      target: { kind, name: this.name },
      isDrained: this.isDrained,
      author: userInfo().username,
    });
    const target = `${this.kind} ${this.name}`;
    const state = this.isDrained ? "drained" : "no longer drained";
    const text = published.changed
      ? `${target} is ${state} with version ${published.version}`
      : `Nothing changed; ${target} was already ${state}`;
    return { value: published, text };
  }
}

export class DrainCommand extends DrainChangeCommand {
  static override paths = [["drain"]];
  static override usage = Command.Usage({
    description: "Send no new requests to a part of the system",
    details:
      "The kind is instance, fabric-domain, availability-zone or entry. Requests in flight are completed. A drain lasts until undrain; applying a folder does not end it.",
    examples: [
      ["Drain a zone", "$0 drain availability-zone kth-a"],
      ["Drain a back end", "$0 drain instance engine-0-1"],
    ],
  });
  protected readonly isDrained = true;
}

export class UndrainCommand extends DrainChangeCommand {
  static override paths = [["undrain"]];
  static override usage = Command.Usage({ description: "End a drain" });
  protected readonly isDrained = false;
}
