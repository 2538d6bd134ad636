import type { createFakeConfig, FakeStreamRun } from "@celerytray/fakes";
import type { OverloadOptions } from "./overload_options.ts";

/** What the runner tells the process of the platform. */
export type PlatformCommand =
  | { readonly kind: "start"; readonly options: OverloadOptions }
  | {
    readonly kind: "publish";
    readonly config: ReturnType<typeof createFakeConfig>;
  }
  /** Begins the disturbances of instances. */
  | { readonly kind: "disturb" }
  | { readonly kind: "count-heads" }
  | { readonly kind: "finish" };

/** What it answers. */
export type PlatformReport =
  | { readonly kind: "started"; readonly storeAddress: string }
  | { readonly kind: "heads"; readonly count: number }
  | {
    readonly kind: "finished";
    readonly runs: readonly FakeStreamRun[];
    readonly disturbances: readonly Disturbance[];
    readonly arrivals: Readonly<Record<string, number>>;
  };

/** Something that was done to an instance or an entry process. */
export interface Disturbance {
  /** Unix time. */
  readonly atMs: number;
  readonly what: string;
  readonly name: string;
  readonly durationMs: number;
}
