import {
  createPlatformPorts,
  type HostPorts,
  readFleetRecords,
} from "celerytray";
import { Command, Option, UsageError } from "clipanion";
import { Effect } from "effect";
import { formatTable } from "./operator_command.ts";

const EXIT_FAILED = 1;

/** A command on what is in quarantine, which the store lists. */
abstract class QuarantineCommand extends Command {
  store = Option.String("--store", {
    description: "IP:PORT of the platform's store (or CELERYTRAY_STORE)",
  });

  /** Runs the command and returns what to print. */
  protected abstract run(
    ports: HostPorts,
  ): Effect.Effect<string, { readonly message: string }>;

  execute(): Promise<number> {
    const storeAddress = this.store ?? process.env.CELERYTRAY_STORE;
    if (storeAddress === undefined) {
      throw new UsageError(
        "No address of the store; give --store IP:PORT or set CELERYTRAY_STORE",
      );
    }
    const { stdout, stderr } = this.context;
    return Effect.runPromise(
      this.run(createPlatformPorts({ storeAddress })).pipe(
        Effect.map((text) => {
          stdout.write(`${text}\n`);
          return 0;
        }),
        Effect.catch(({ message }) =>
          Effect.sync(() => {
            stderr.write(`${message}\n`);
            return EXIT_FAILED;
          })
        ),
      ),
    );
  }
}

/** Lists the parts of prompts and the requests in quarantine. */
export class QuarantineListCommand extends QuarantineCommand {
  static override paths = [["quarantine", "list"]];
  static override usage = Command.Usage({
    description:
      "List the parts of prompts and the requests that crash instances",
  });

  protected run({ log }: HostPorts) {
    return Effect.map(readFleetRecords(log), ({ quarantined }) =>
      formatTable(
        ["part", "crashes"],
        quarantined.map(({ part, crashes }) => [part, crashes]),
      ));
  }
}

/** Releases a part of prompts, or a request, from quarantine. */
export class QuarantineReleaseCommand extends QuarantineCommand {
  static override paths = [["quarantine", "release"]];
  static override usage = Command.Usage({
    description:
      "Send a request, or those with a part of prompts, to instances again",
  });
  part = Option.String({ name: "part" });

  protected run({ log, releasePrefix }: HostPorts) {
    return Effect.gen({ self: this }, function* () {
      const { quarantined } = yield* readFleetRecords(log);
      if (!quarantined.some(({ part }) => part === this.part)) {
        return yield* Effect.fail({
          message:
            `${this.part} is not in quarantine; see celerytray quarantine list`,
        });
      }
      const key = `${releasePrefix}${this.part}`;
      yield* log.append("config", { key, value: Buffer.from("{}") });
      return `${this.part} is released; it is quarantined again if it crashes replicas`;
    });
  }
}
