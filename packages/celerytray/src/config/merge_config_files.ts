import { applyMergePatch } from "./config_patch.ts";
import type { ConfigFile } from "./parse_config_file.ts";

/** The merged folder and the source file of each value. */
export interface MergedConfig {
  readonly content: unknown;
  /** Name of the file that set each leaf value, by dotted path. */
  readonly sources: ReadonlyMap<string, string>;
}

/**
 * Merges files in the order of their names. A later file overrides an earlier
 * one: objects are merged, a scalar or list replaces the earlier value, and
 * null removes it.
 */
export function mergeConfigFiles(files: readonly ConfigFile[]): MergedConfig {
  const ordered = files.toSorted((a, b) => a.name < b.name ? -1 : 1);
  const sources = new Map<string, string>();
  let content: unknown = {};
  for (const file of ordered) {
    content = applyMergePatch(content, file.content);
    recordSources(sources, { file: file.name, path: "", value: file.content });
  }
  return { content, sources };
}

interface SourcedValue {
  readonly file: string;
  readonly path: string;
  readonly value: unknown;
}

function recordSources(
  sources: Map<string, string>,
  sourced: SourcedValue,
): void {
  const { file, path, value } = sourced;
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    sources.set(path, file);
    return;
  }
  for (const [name, inner] of Object.entries(value)) {
    const innerPath = path === "" ? name : `${path}.${name}`;
    recordSources(sources, { file, path: innerPath, value: inner });
  }
}
