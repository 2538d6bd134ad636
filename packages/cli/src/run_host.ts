import { createHost, type Host, recordFault } from "celerytray/host";
import { Journal } from "celerytray/journal";
import {
  createPlatformPorts,
  decodeSettings,
  SETTINGS_VARIABLE,
} from "celerytray/platform";
import { Clock, Effect } from "effect";
import { readFileSync } from "node:fs";
import { buildId } from "./build_id.ts";
import type { ProcessSignals } from "./process_signals.ts";

const EXIT_BAD_SETTINGS = 2;

/**
 * Runs a process of the deployment until it is asked to stop and returns its
 * exit code. The settings come from the file that `SETTINGS_VARIABLE` names.
 */
export async function runProgram(signals: ProcessSignals): Promise<number> {
  const path = process.env[SETTINGS_VARIABLE];
  if (path === undefined) {
    return reportFailure(
      `${SETTINGS_VARIABLE} is not set; give the settings file`,
    );
  }
  const settings = readSettings(path);
  if (settings.isLeft()) return reportFailure(settings.extract() as string);
  if (signals.isStopping) return 0;
  return await Effect.runPromise(
    runHost(path, settings.unsafeCoerce(), signals).pipe(
      Effect.scoped,
      Effect.match({
        onSuccess: () => 0,
        onFailure: ({ message }) => reportFailure(message),
      }),
    ),
  );
}

function reportFailure(message: string): number {
  process.stderr.write(`${message}\n`);
  return EXIT_BAD_SETTINGS;
}

function readSettings(path: string) {
  let text = "";
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    process.stderr.write(`${(error as Error).message}; check ${path}\n`);
  }
  return decodeSettings(text);
}

type Settings = Parameters<typeof createHost>[0]["settings"];

function runHost(path: string, settings: Settings, signals: ProcessSignals) {
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const journal = new Journal({
      process: settings.nodeId,
      nowMs: () => clock.currentTimeMillisUnsafe(),
    });
    const awaitStop = Effect.promise(() => signals.stopped);
    const host: Host | undefined = yield* createHost({
      settings,
      journal,
      ports: createPlatformPorts({
        ...settings,
        onEraRaised: (change) => journal.record("store.era", { ...change }),
        onOddEra: (odd) => journal.record("store.era-odd", { ...odd }),
      }),
    }).pipe(Effect.raceFirst(Effect.as(awaitStop, undefined)));
    if (host === undefined) {
      journal.record("process.stopped", {});
      return;
    }
    journal.record("process.started", {
      zone: settings.zone,
      build: buildId,
      uptimeMs: Math.round(process.uptime() * 1000),
    });
    const recordUnexpectedError = (error: unknown) =>
      recordFault({
        name: "event handler",
        record: (event, fields) => journal.record(event, fields),
      }, error);
    process.on("uncaughtException", recordUnexpectedError);
    process.on("unhandledRejection", recordUnexpectedError);
    signals.onReload(() => {
      const reloaded = readSettings(path);
      journal.record("process.reloaded", {
        problem: reloaded.isLeft() ? reloaded.extract() : undefined,
      });
    });
    yield* awaitStop;
    journal.record("process.draining", {});
    yield* host.drain();
    journal.record("process.stopped", {});
  });
}
