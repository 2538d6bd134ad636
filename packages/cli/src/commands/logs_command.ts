import { explainCall, type LogLine, parseLogLines } from "celerytray";
import { Command, Option } from "clipanion";
import { readFile } from "node:fs/promises";

const EXIT_NOT_FOUND = 1;

/** Prints what log files tell of a request and of what its attempts met. */
export class LogsCommand extends Command {
  static override paths = [["logs"]];
  static override usage = Command.Usage({
    description: "Print what log files tell of a request and its cause",
    examples: [["One request", "celerytray logs 9a6d79a6 entry-*.log"]],
  });
  callId = Option.String({ name: "id" });
  files = Option.Rest({ name: "log files", required: 1 });

  async execute(): Promise<number> {
    const lines: LogLine[] = [];
    for (const file of this.files) {
      let text: string;
      try {
        text = await readFile(file, "utf8");
      } catch (error) {
        this.context.stderr.write(
          `${(error as Error).message}; give files that can be read\n`,
        );
        return EXIT_NOT_FOUND;
      }
      lines.push(...parseLogLines(text));
    }
    const { calls, causes } = explainCall(lines, this.callId);
    if (calls.length === 0) {
      this.context.stderr.write(
        `No line names ${this.callId}; give the logs of all machines, and mind that plain successes are left out above 40 a second\n`,
      );
      return EXIT_NOT_FOUND;
    }
    this.#print("The request:", calls);
    this.#print("What its instances and processes met:", causes);
    return 0;
  }

  #print(title: string, lines: readonly LogLine[]): void {
    const text = lines.map((line) => `  ${JSON.stringify(line)}\n`).join("");
    this.context.stdout.write(`${title}\n${text}`);
  }
}
