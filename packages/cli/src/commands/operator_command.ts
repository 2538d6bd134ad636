import { TRPCClientError } from "@trpc/client";
import { type AdminClient, createAdminClient } from "celerytray";
import { Command, Option, UsageError } from "clipanion";

const EXIT_FAILED = 1;

/** A command did not do what it was asked to. */
export class CommandFailure extends Error {}

/** A command that asks an entry instance. */
export abstract class OperatorCommand extends Command {
  address = Option.String("--address", {
    description:
      "IP:PORT of an entry instance's administration (or CELERYTRAY_ADDRESS)",
  });
  json = Option.Boolean("--json", false, { description: "Print JSON" });

  /** Does the work; what it returns is printed. */
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

  /** Names the address when no entry instance answers there. */
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
        "No entry instance named; give --address IP:PORT or set CELERYTRAY_ADDRESS",
      );
    }
    if (token === undefined) {
      throw new UsageError("No token; set CELERYTRAY_TOKEN in the environment");
    }
    return createAdminClient({ address, token });
  }
}

/** What a command prints: a value for programs, a text for people. */
export interface CommandOutput {
  readonly value: unknown;
  readonly text: string;
}

/** Lays rows out in columns under a heading. */
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
