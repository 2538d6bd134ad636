import { TRPCClientError } from "@trpc/client";
import { type AdminClient, createAdminClient } from "celerytray";
import { Command, Option, UsageError } from "clipanion";

const EXIT_FAILED = 1;

/** A command failed. The message goes to standard error. */
export class CommandError extends Error {}

/** A command that sends requests to an entry instance's administration API. */
export abstract class OperatorCommand extends Command {
  address = Option.String("--address", {
    description:
      "IP:PORT of an entry instance's administration API (or CELERYTRAY_ADDRESS)",
  });
  json = Option.Boolean("--json", false, { description: "Print JSON" });

  /** Runs the command and returns what to print. */
  protected abstract run(client: AdminClient): Promise<CommandOutput>;

  async execute(): Promise<number> {
    const client = this.#connect();
    try {
      const output = await this.run(client);
      const text = this.json
        ? JSON.stringify(output.value, null, 2)
        : output.text;
      this.context.stdout.write(`${text}\n`);
      return 0;
    } catch (error) {
      this.context.stderr.write(`${this.#describe(error as Error)}\n`);
      return EXIT_FAILED;
    }
  }

  /** Formats an error; names the address if no entry instance answered. */
  #describe(error: Error): string {
    const isAnswered = !(error instanceof TRPCClientError) ||
      error.data != null;
    if (isAnswered) return error.message;
    const address = this.address ?? process.env.CELERYTRAY_ADDRESS;
    return `No entry instance answers on ${address} (${error.message}); check --address and that it runs`;
  }

  #connect(): AdminClient {
    const address = this.address ?? process.env.CELERYTRAY_ADDRESS;
    const token = process.env.CELERYTRAY_TOKEN;
    if (address === undefined) {
      throw new UsageError(
        "No entry instance address; give --address IP:PORT or set CELERYTRAY_ADDRESS",
      );
    }
    if (token === undefined) {
      throw new UsageError("No token; set CELERYTRAY_TOKEN in the environment");
    }
    return createAdminClient({ address, token });
  }
}

/** Output of a command: the value is printed as JSON with `--json`, else the text. */
export interface CommandOutput {
  readonly value: unknown;
  readonly text: string;
}

/** Formats rows as aligned columns below a line of headings. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const lines = [headings, ...rows].map((row) => row.map(String));
  const widths = headings.map((_, column) =>
    Math.max(...lines.map((line) => line[column]!.length))
  );
  return lines.map((line) =>
    line.map((cell, column) => cell.padEnd(widths[column]!)).join("  ")
      .trimEnd()
  ).join("\n");
}
