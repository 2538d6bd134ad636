import { listRepairs } from "celerytray";
import { Command, Option } from "clipanion";
import { quantile } from "simple-statistics";
import { readLogFiles } from "./read_log_files.ts";

const TAIL_QUANTILE = 0.95;

/** Prints how long lost model replicas took to be replaced. */
export class RepairsCommand extends Command {
  static override paths = [["repairs"]];
  static override usage = Command.Usage({
    description: "Print from log files how long lost replicas were missing",
    examples: [["A day", "celerytray repairs entry-*.log"]],
  });
  files = Option.Rest({ name: "log files", required: 1 });

  async execute(): Promise<number> {
    const lines = await readLogFiles(this.files);
    if (lines.isLeft()) {
      this.context.stderr.write(`${lines.extract()}\n`);
      return 1;
    }
    const repairs = listRepairs(lines.orDefault([]));
    const { stdout } = this.context;
    for (const { replica, model, reason, durationMs } of repairs) {
      const duration = durationMs === undefined
        ? "not replaced"
        : `${durationMs} ms`;
      stdout.write(`${replica} ${model} (${reason}): ${duration}\n`);
    }
    const durationsMs = repairs.flatMap(({ durationMs }) => durationMs ?? []);
    const missing = repairs.length - durationsMs.length;
    stdout.write(`${repairs.length} replicas lost, ${missing} not replaced\n`);
    if (durationsMs.length === 0) return 0;
    const medianMs = Math.round(quantile(durationsMs, 0.5));
    const tailMs = Math.round(quantile(durationsMs, TAIL_QUANTILE));
    stdout.write(`median ${medianMs} ms, 95th percentile ${tailMs} ms\n`);
    return 0;
  }
}
