import { explainCall, type LogLine } from "celerytray";
import { Command, Option } from "clipanion";
import { readLogFiles } from "./read_log_files.ts";

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
    const lines = await readLogFiles(this.files);
    if (lines.isLeft()) {
      this.context.stderr.write(`${lines.extract()}\n`);
      return EXIT_NOT_FOUND;
    }
    const { calls, causes } = explainCall(lines.orDefault([]), this.callId);
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
