import type { ConfigSet, Instance } from "@celerytray/schema";

/** What can be drained. */
export type DrainKind =
  | "instance"
  | "fabric-domain"
  | "availability-zone"
  | "entry";

/** All kinds, as commands name them. */
export const DRAIN_KINDS: readonly DrainKind[] = [
  "instance",
  "fabric-domain",
  "availability-zone",
  "entry",
];

/** One thing to drain. */
export interface DrainTarget {
  readonly kind: DrainKind;
  readonly name: string;
}

/** Whether a back end gets no new work, and by which drain. */
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
  return findKey(config, keys);
}

/** Whether an entry instance takes no new requests, and by which drain. */
export function findEntryDrain(
  config: ConfigSet,
  entry: { readonly instanceId: string; readonly availabilityZone: string },
): string | undefined {
  return findKey(config, [
    createDrainKey({ kind: "entry", name: entry.instanceId }),
    createDrainKey({ kind: "availability-zone", name: entry.availabilityZone }),
  ]);
}

/** Adds a drain; who drained first stays named. */
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

/** Removes a drain. */
export function removeDrain(config: ConfigSet, target: DrainTarget): ConfigSet {
  const drains = { ...config.drains };
  delete drains[createDrainKey(target)];
  return { ...config, drains };
}

function createDrainKey({ kind, name }: DrainTarget): string {
  return `${kind}:${name}`;
}

function findKey(
  config: ConfigSet,
  keys: readonly string[],
): string | undefined {
  const { drains } = config;
  if (drains === undefined) return undefined;
  return keys.find((key) => Object.hasOwn(drains, key));
}
