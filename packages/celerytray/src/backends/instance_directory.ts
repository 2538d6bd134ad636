import type { Instance } from "@celerytray/schema";
import { Clock, Effect, type Scope } from "effect";
import type { InstanceList } from "./instance_list.ts";

/** The instance list as last read. */
export interface InstanceDirectory {
  readonly all: () => readonly Instance[];
  readonly byId: () => ReadonlyMap<string, Instance>;
  /** When the list was last read; undefined before the first time. */
  readonly readAtMs: () => number | undefined;
}

/** Options of a directory. */
export interface InstanceDirectoryOptions {
  readonly list: InstanceList;
  readonly intervalMs: number;
}

/** Reads the list again and again until the scope closes; keeps the last one. */
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
