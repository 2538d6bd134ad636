import { type ConfigPatch, isSection } from "./config_patch.ts";

const MAX_FIELDS = 10;
const MAX_VALUE_LENGTH = 60;

/** One line that names the fields a patch sets or removes. */
export function describePatch(patch: ConfigPatch): string {
  const fields = listFields(patch, "");
  const shown = fields.slice(0, MAX_FIELDS);
  const hiddenCount = fields.length - shown.length;
  if (hiddenCount > 0) shown.push(`${hiddenCount} more`);
  return shown.join(", ");
}

function listFields(value: unknown, path: string): string[] {
  if (value === null) return [`${path} removed`];
  if (!isSection(value)) return [`${path} = ${shorten(value)}`];
  return Object.entries(value).flatMap(([name, inner]) =>
    listFields(inner, path === "" ? name : `${path}.${name}`)
  );
}

function shorten(value: unknown): string {
  const text = JSON.stringify(value) ?? "";
  return text.length <= MAX_VALUE_LENGTH
    ? text
    : `${text.slice(0, MAX_VALUE_LENGTH)}...`;
}
