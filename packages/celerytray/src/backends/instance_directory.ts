import type { Instance } from "@celerytray/schema";
import { Clock, Effect, type Scope } from "effect";
import type { InstanceList } from "./instance_list.ts";

/** The instance list as of its last successful read. */
export interface InstanceDirectory {
  readonly all: () => readonly Instance[];
  readonly byId: () => ReadonlyMap<string, Instance>;
  /** Time of the last successful read; undefined before the first one. */
  readonly readAtMs: () => number | undefined;
}

/** Options of a directory. */
export interface InstanceDirectoryOptions {
  readonly list: InstanceList;
  readonly intervalMs: number;
}

/** Polls the list until the scope closes; a failed read keeps the last result. */
export function createInstanceDirectory(
  options: InstanceDirectoryOptions,
): Effect.Effect<InstanceDirectory, never, Scope.Scope> {
  return Effect.gen(function* () {
    let all: readonly Instance[] = [];
    let byId: ReadonlyMap<string, Instance> = new Map();
    let readAtMs: number | undefined;
    const refresh = Effect.gen(function* () {
      all = yield* options.list.read();
      byId = new Map(all.map((instance) => [instance.instanceId, instance]));
      readAtMs = yield* Clock.currentTimeMillis;
    });
    const poll = refresh.pipe(
      Effect.ignore,
      Effect.andThen(Effect.sleep(options.intervalMs)),
    );
    yield* Effect.forkScoped(Effect.forever(poll));
    return { all: () => all, byId: () => byId, readAtMs: () => readAtMs };
  });
}
