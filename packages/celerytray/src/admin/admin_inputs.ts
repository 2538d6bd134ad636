import { DRAIN_KINDS, type DrainTarget } from "../config/index.ts";
import type {
  ConfigApplication,
  ConfigRollback,
  DrainChange,
} from "./admin_operations.ts";

const AUTHOR_PATTERN = /^[^\p{Cc}]{1,128}$/u;
const NAME_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;

/** Checks the input of a publication. */
export function parseApplication(input: unknown): ConfigApplication {
  const { config, refinesVersion, author } = toFields(input);
  if (typeof config !== "object" || config === null) {
    throw new Error("Needs a configuration; use celerytray config apply");
  }
  if (refinesVersion !== undefined && !isVersion(refinesVersion)) {
    throw new Error("refinesVersion must be a whole number; correct it");
  }
  return { config, refinesVersion, author: parseAuthor(author) };
}

/** Checks the input of a rollback. */
export function parseRollback(input: unknown): ConfigRollback {
  const { version, author } = toFields(input);
  if (!isVersion(version)) {
    throw new Error("version must be a whole number; see config history");
  }
  return { version, author: parseAuthor(author) };
}

/** Checks the input of a drain. */
export function parseDrainChange(input: unknown): DrainChange {
  const { target, isDrained, author } = toFields(input);
  if (typeof isDrained !== "boolean") {
    throw new Error("Needs isDrained; use celerytray drain or undrain");
  }
  return {
    target: parseTarget(target),
    isDrained,
    author: parseAuthor(author),
  };
}

function parseTarget(input: unknown): DrainTarget {
  const { kind, name } = toFields(input);
  const known = DRAIN_KINDS.find((each) => each === kind);
  if (known === undefined) {
    throw new Error(`kind must be one of ${DRAIN_KINDS.join(", ")}`);
  }
  if (typeof name !== "string" || !NAME_PATTERN.test(name)) {
    throw new Error("name must be an identifier; see celerytray replicas");
  }
  return { kind: known, name };
}

function parseAuthor(author: unknown): string {
  if (typeof author === "string" && AUTHOR_PATTERN.test(author)) return author;
  throw new Error("author must be a name of up to 128 characters");
}

function toFields(input: unknown): Readonly<Record<string, unknown>> {
  return typeof input === "object" && input !== null
    ? input as Readonly<Record<string, unknown>>
    : {};
}

function isVersion(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
