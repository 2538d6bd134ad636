import type { ConfigSet } from "@celerytray/schema";
import mergePatch from "json-merge-patch";

/** A JSON merge patch (RFC 7386). */
export type ConfigPatch = Readonly<Record<string, unknown>>;

/** Creates the patch from one configuration to another; undefined if equal. */
export function createConfigPatch(
  before: ConfigSet,
  after: ConfigSet,
): ConfigPatch | undefined {
  const patch: unknown = mergePatch.generate(before, after);
  return patch as ConfigPatch | undefined;
}

/**
 * Applies a patch without changing its arguments. The result shares every
 * value that the patch does not name, so the cost depends on the patch's size.
 */
export function applyConfigPatch(
  config: ConfigSet,
  patch: ConfigPatch,
): unknown {
  return applyMergePatch(config, patch);
}

/**
 * Merges objects field by field, replaces lists and scalars, and removes fields
 * that the patch sets to null. A field named __proto__ stays an ordinary field.
 */
export function applyMergePatch(target: unknown, patch: unknown): unknown {
  if (!isSection(patch)) return patch;
  const merged: Record<string, unknown> = isSection(target)
    ? { ...target }
    : {};
  for (const [name, value] of Object.entries(patch)) {
    if (value === null) {
      delete merged[name];
      continue;
    }
    const before = Object.hasOwn(merged, name) ? merged[name] : undefined;
    setField(merged, { name, value: applyMergePatch(before, value) });
  }
  return merged;
}

function setField(
  target: Record<string, unknown>,
  { name, value }: { readonly name: string; readonly value: unknown },
): void {
  if (name !== "__proto__") {
    target[name] = value;
    return;
  }
  Object.defineProperty(target, name, {
    value,
    configurable: true,
    enumerable: true,
    writable: true,
  });
}

/** Whether a value is an object, which is merged; other values are replaced. */
export function isSection(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
