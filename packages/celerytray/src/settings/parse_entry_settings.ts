import {
  type EntrySettings,
  settingsSchema,
  validateEntrySettings,
} from "@celerytray/schema";
import { Data } from "effect";
import { type Either, Left } from "purify-ts";
import { type ClaimPolicy, createClaimPolicy } from "../claims/index.ts";
import { listValidationProblems } from "../errors/index.ts";

/** Settings with every default filled in. */
export interface ResolvedEntrySettings extends Required<EntrySettings> {
  readonly claimPolicy: ClaimPolicy;
}

/** Settings are missing or wrong. */
export class SettingsRejected extends Data.TaggedError("SettingsRejected")<{
  readonly message: string;
}> {}

/** One setting, as flags and help name it. */
export interface SettingDescription {
  readonly field: string;
  /** Such as --listen-address. */
  readonly flag: string;
  /** Such as CELERYTRAY_LISTEN_ADDRESS. */
  readonly variable: string;
  readonly description: string;
  readonly isNumber: boolean;
}

/** Texts by flag name and the environment. */
export interface SettingSources {
  readonly flags: Readonly<Record<string, string | undefined>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** All settings, in the schema's order. */
export function listSettings(): SettingDescription[] {
  return Object.entries(settingsSchema.properties).map(([field, schema]) => ({
    field,
    flag: `--${toKebabCase(field)}`,
    variable: `CELERYTRAY_${
      toKebabCase(field).replaceAll("-", "_").toUpperCase()
    }`,
    description: schema.description,
    isNumber: schema.type === "integer",
  }));
}

/** Reads settings: a flag goes before its variable, which goes before the default. */
export function parseEntrySettings(
  sources: SettingSources,
): Either<SettingsRejected, ResolvedEntrySettings> {
  const settings: Record<string, unknown> = {};
  for (const { field, flag, variable, isNumber } of listSettings()) {
    const text = sources.flags[flag] ?? sources.environment[variable];
    const value = text === undefined ? findDefault(field) : text;
    if (value === undefined) continue;
    settings[field] = isNumber ? toNumber(value) : value;
  }
  if (validateEntrySettings(settings)) {
    const resolved = settings as unknown as Required<EntrySettings>;
    return createClaimPolicy(resolved).bimap(
      ({ message }) => new SettingsRejected({ message }),
      (claimPolicy) => ({ ...resolved, claimPolicy }),
    );
  }
  const lines = listValidationProblems(validateEntrySettings).map(
    ({ field, message }) => describeProblem(field, message),
  );
  return Left(new SettingsRejected({ message: lines.join("\n") }));
}

function describeProblem(field: string, message: string): string {
  const setting = listSettings().find((known) => known.field === field);
  const name = setting === undefined
    ? field
    : `${setting.flag} (or ${setting.variable})`;
  return `${name}: ${message}`;
}

function findDefault(field: string): string | number | undefined {
  const properties = settingsSchema.properties as Readonly<
    Record<string, { readonly default?: string | number }>
  >;
  return properties[field]?.default;
}

/** A text that is no number stays a text, so that the schema names it. */
function toNumber(value: string | number): string | number {
  if (typeof value === "number" || value.trim() === "") return value;
  const parsed = Number(value);
  return Number.isNaN(parsed) ? value : parsed;
}

function toKebabCase(name: string): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
