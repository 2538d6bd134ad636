import {
  createEntryInstance,
  listSettings,
  parseEntrySettings,
  readSecrets,
  useJsonLogs,
} from "celerytray";
import { Command, Option } from "clipanion";
import createDebug from "debug";
import { Effect } from "effect";
import { fromEither } from "celerytray";
import { waitForSignal } from "../wait_for_signal.ts";

const debug = createDebug("celerytray:serve");

const EXIT_BAD_SETTINGS = 2;

/** Runs an entry instance until SIGTERM or SIGINT. */
export class ServeCommand extends Command {
  static override paths = [["serve"]];
  static override usage = Command.Usage({
    description: "Run an entry instance",
    details:
      "Each flag can be given as an environment variable instead: --log-url is CELERYTRAY_LOG_URL. Secrets come from the environment only: CELERYTRAY_OPERATOR_TOKEN, CELERYTRAY_VIEWER_TOKEN and CELERYTRAY_PEER_SECRET.",
  });

  /** Names of the declared flags. Their values are fields of this command. */
  readonly flags = createFlagOptions(this);

  async execute(): Promise<number> {
    return await Effect.runPromise(
      runEntryInstance(this.#readFlags()).pipe(
        Effect.scoped,
        Effect.match({
          onSuccess: () => 0,
          onFailure: (error) => {
            this.context.stderr.write(`${error.message}\n`);
            return EXIT_BAD_SETTINGS;
          },
        }),
      ),
    );
  }

  #readFlags(): Record<string, string | undefined> {
    const values = this as unknown as Record<string, string | undefined>;
    return Object.fromEntries(
      listSettings().map(({ field, flag }) => [flag, values[field]]),
    );
  }
}

/** Declares an option on a command for each setting and returns the flags. */
function createFlagOptions(command: Command): readonly string[] {
  const target = command as unknown as Record<string, unknown>;
  return listSettings().map(({ field, flag, description }) => {
    target[field] = Option.String(flag, { description });
    return flag;
  });
}

function runEntryInstance(flags: Readonly<Record<string, string | undefined>>) {
  return Effect.gen(function* () {
    const environment = process.env;
    const settings = yield* fromEither(
      parseEntrySettings({ flags, environment }),
    );
    useJsonLogs({ process: settings.instanceId });
    const secrets = yield* fromEither(readSecrets(environment));
    const entry = yield* createEntryInstance({ settings, secrets });
    debug("serving callers on %s", settings.listenAddress);
    yield* waitForSignal();
    debug("draining");
    yield* entry.drain().pipe(
      Effect.timeoutOption(settings.drainTimeoutMs),
      Effect.raceFirst(waitForSignal()),
    );
    debug("stopped");
  });
}
