import {
  type EntrySettings,
  settingsSchema,
  validateEntrySettings,
} from "@celerytray/schema";
import { Data } from "effect";
import { type Either, Left } from "purify-ts";
import { type ClaimPolicy, createClaimPolicy } from "../claims/index.ts";
import { listValidationProblems } from "../errors/index.ts";

/** Settings with all defaults applied. */
export interface ResolvedEntrySettings extends Required<EntrySettings> {
  readonly claimPolicy: ClaimPolicy;
}

/** Settings are missing or invalid. The message has a line per problem. */
export class SettingsRejected extends Data.TaggedError("SettingsRejected")<{
  readonly message: string;
}> {}

/** Name, flag, environment variable and help text of a setting. */
export interface SettingDescription {
  readonly field: string;
  /** For example --listen-address. */
  readonly flag: string;
  /** For example CELERYTRAY_LISTEN_ADDRESS. */
  readonly variable: string;
  readonly description: string;
  readonly isNumber: boolean;
}

/** Flag values, by flag, and environment variables. */
export interface SettingSources {
  readonly flags: Readonly<Record<string, string | undefined>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Lists all settings in schema order. */
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

/**
 * Parses and validates settings. A flag takes precedence over its environment
 * variable, and the variable over the default.
 */
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
    ({ field, message }) => formatProblem(field, message),
  );
  return Left(new SettingsRejected({ message: lines.join("\n") }));
}

function formatProblem(field: string, message: string): string {
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

/** Returns text that is not a number unchanged, so that validation reports it. */
function toNumber(value: string | number): string | number {
  if (typeof value === "number" || value.trim() === "") return value;
  const parsed = Number(value);
  return Number.isNaN(parsed) ? value : parsed;
}

function toKebabCase(name: string): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
