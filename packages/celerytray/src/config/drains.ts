import type { ConfigSet, Instance } from "@celerytray/schema";

/** Kinds of target that can be drained; `entry` is an entry instance. */
export type DrainKind =
  | "instance"
  | "fabric-domain"
  | "availability-zone"
  | "entry";

/** All kinds, under the names that commands use. */
export const DRAIN_KINDS: readonly DrainKind[] = [
  "instance",
  "fabric-domain",
  "availability-zone",
  "entry",
];

/** A target of a drain. */
export interface DrainTarget {
  readonly kind: DrainKind;
  readonly name: string;
}

/** The key of a drain that applies to a back end; undefined if none does. */
export function findInstanceDrain(
  config: ConfigSet,
  instance: Pick<Instance, "instanceId" | "fabricDomain" | "availabilityZone">,
): string | undefined {
  const { instanceId, fabricDomain, availabilityZone } = instance;
  const keys = [
    createDrainKey({ kind: "instance", name: instanceId }),
    createDrainKey({ kind: "availability-zone", name: availabilityZone }),
  ];
  if (fabricDomain !== undefined) {
    keys.push(createDrainKey({ kind: "fabric-domain", name: fabricDomain }));
  }
  return findFirstDrain(config, keys);
}

/** The key of a drain that applies to an entry instance; undefined if none does. */
export function findEntryDrain(
  config: ConfigSet,
  entry: { readonly instanceId: string; readonly availabilityZone: string },
): string | undefined {
  return findFirstDrain(config, [
    createDrainKey({ kind: "entry", name: entry.instanceId }),
    createDrainKey({ kind: "availability-zone", name: entry.availabilityZone }),
  ]);
}

/** Adds a drain. An existing drain of the target keeps its author and time. */
export function addDrain(
  config: ConfigSet,
  options: {
    readonly target: DrainTarget;
    readonly author: string;
    readonly nowMs: number;
  },
): ConfigSet {
  const key = createDrainKey(options.target);
  const drain = { author: options.author, sinceMs: options.nowMs };
  return { ...config, drains: { [key]: drain, ...config.drains } };
}

export function removeDrain(config: ConfigSet, target: DrainTarget): ConfigSet {
  const drains = { ...config.drains };
  delete drains[createDrainKey(target)];
  return { ...config, drains };
}

function createDrainKey({ kind, name }: DrainTarget): string {
  return `${kind}:${name}`;
}

function findFirstDrain(
  config: ConfigSet,
  keys: readonly string[],
): string | undefined {
  const { drains } = config;
  if (drains === undefined) return undefined;
  return keys.find((key) => Object.hasOwn(drains, key));
}
