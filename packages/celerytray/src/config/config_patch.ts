import type { ConfigSet } from "@celerytray/schema";
import mergePatch from "json-merge-patch";

/** A JSON merge patch (RFC 7386). */
export type ConfigPatch = Record<string, unknown>;

/** The patch that turns one configuration into another; undefined if equal. */
export function createConfigPatch(
  before: ConfigSet,
  after: ConfigSet,
): ConfigPatch | undefined {
  const patch: unknown = mergePatch.generate(before, after);
  return patch as ConfigPatch | undefined;
}

/** Applies a patch to a copy. */
export function applyConfigPatch(
  config: ConfigSet,
  patch: ConfigPatch,
): unknown {
  return mergePatch.apply(structuredClone(config), structuredClone(patch));
}
