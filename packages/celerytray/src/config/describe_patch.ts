import { type ConfigPatch, isSection } from "./config_patch.ts";

const MAX_FIELDS = 10;
const MAX_VALUE_LENGTH = 60;

/** A field that a patch sets, or removes if the value is null. */
export interface PatchField {
  /** Dotted path. */
  readonly field: string;
  readonly value: unknown;
}

/** Describes in one line the fields that a patch sets or removes. */
export function describePatch(patch: ConfigPatch): string {
  const fields = listPatchFields(patch);
  const shown = fields.slice(0, MAX_FIELDS).map(describeField);
  const hiddenCount = fields.length - shown.length;
  if (hiddenCount > 0) shown.push(`${hiddenCount} more`);
  return shown.join(", ");
}

/** Lists the fields that a patch sets or removes, with dotted paths. */
export function listPatchFields(patch: ConfigPatch): PatchField[] {
  return listFields(patch, "");
}

function listFields(value: unknown, path: string): PatchField[] {
  if (!isSection(value)) return [{ field: path, value }];
  return Object.entries(value).flatMap(([name, inner]) =>
    listFields(inner, path === "" ? name : `${path}.${name}`)
  );
}

function describeField({ field, value }: PatchField): string {
  if (value === null) return `${field} removed`;
  const text = JSON.stringify(value) ?? "";
  const shown = text.length <= MAX_VALUE_LENGTH
    ? text
    : `${text.slice(0, MAX_VALUE_LENGTH)}...`;
  return `${field} = ${shown}`;
}
