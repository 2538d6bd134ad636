import { explainCall, type LogLine } from "celerytray";
import { Command, Option } from "clipanion";
import { readLogFiles } from "./read_log_files.ts";

const EXIT_FAILED = 1;

/** Prints the log lines of a request and of the events that affected it. */
export class LogsCommand extends Command {
  static override paths = [["logs"]];
  static override usage = Command.Usage({
    description: "Print the log lines of a request and their causes",
    examples: [["One request", "celerytray logs 9a6d79a6 entry-*.log"]],
  });
  callId = Option.String({ name: "id" });
  files = Option.Rest({ name: "log files", required: 1 });

  async execute(): Promise<number> {
    const lines = await readLogFiles(this.files);
    if (lines.isLeft()) {
      this.context.stderr.write(`${lines.extract()}\n`);
      return EXIT_FAILED;
    }
    const { calls, causes } = explainCall(lines.orDefault([]), this.callId);
    if (calls.length === 0) {
      this.context.stderr.write(
        `No line names ${this.callId}; give the logs of all machines; ordinary successes above 40 a second are not logged\n`,
      );
      return EXIT_FAILED;
    }
    this.#print("The request:", calls);
    this.#print("Events of its instances and processes:", causes);
    return 0;
  }

  #print(title: string, lines: readonly LogLine[]): void {
    const text = lines.map((line) => `  ${JSON.stringify(line)}\n`).join("");
    this.context.stdout.write(`${title}\n${text}`);
  }
}
