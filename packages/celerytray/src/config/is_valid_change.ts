import { type ConfigSet, validateConfigSet } from "@celerytray/schema";
import { type ConfigPatch, isSection } from "./config_patch.ts";
import { findDanglingReferences } from "./find_dangling_references.ts";

const SECTIONS = [
  "availabilityZones",
  "organisations",
  "deployments",
  "services",
  "drains",
] as const;
type Section = typeof SECTIONS[number];

/**
 * Whether a valid configuration is still valid after a patch. Checks only the
 * entries that the patch names, and all references when the patch removes a
 * service or deployment.
 */
export function isValidChange(
  after: unknown,
  patch: ConfigPatch,
): after is ConfigSet {
  if (!isSection(after)) return false;
  if (!validateConfigSet(selectPatchedEntries(after, patch))) return false;
  const config = after as unknown as ConfigSet;
  return findDanglingReferences(config, findReferenceScope(config, patch))
    .length === 0;
}

/** The configuration reduced to the entries that a patch names. */
function selectPatchedEntries(
  after: Readonly<Record<string, unknown>>,
  patch: ConfigPatch,
): unknown {
  const entries = Object.entries(after).map(([section, value]) => {
    const change = Object.hasOwn(patch, section) ? patch[section] : {};
    return [section, selectEntries(value, change)];
  });
  return Object.fromEntries(entries);
}

function selectEntries(value: unknown, change: unknown): unknown {
  if (!isSection(value) || !isSection(change)) return value;
  const names = Object.keys(change).filter((name) =>
    Object.hasOwn(value, name)
  );
  return Object.fromEntries(names.map((name) => [name, value[name]]));
}

function findReferenceScope(after: ConfigSet, patch: ConfigPatch) {
  return {
    services: removesFrom(patch, "deployments")
      ? undefined
      : findPatchedNames(after, { patch, section: "services" }),
    organisations: removesFrom(patch, "services")
      ? undefined
      : findPatchedNames(after, { patch, section: "organisations" }),
  };
}

function removesFrom(patch: ConfigPatch, section: Section): boolean {
  const change = patch[section];
  if (change === undefined) return false;
  return !isSection(change) || Object.values(change).includes(null);
}

function findPatchedNames(
  after: ConfigSet,
  options: { readonly patch: ConfigPatch; readonly section: Section },
): readonly string[] | undefined {
  const change = options.patch[options.section];
  if (change === undefined) return [];
  const present = after[options.section] ?? {};
  if (!isSection(change)) return undefined;
  return Object.keys(change).filter((name) => Object.hasOwn(present, name));
}
