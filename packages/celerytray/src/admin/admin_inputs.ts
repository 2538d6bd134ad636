import { DRAIN_KINDS, type DrainTarget } from "../config/index.ts";
import type { HybridTimestamp, TimelineFilter } from "../timeline/index.ts";
import type {
  ConfigApplication,
  ConfigRollback,
  DrainChange,
} from "./admin_operations.ts";

const AUTHOR_PATTERN = /^[^\p{Cc}]{1,128}$/u;
const MAX_EVENTS = 10_000;
const MAX_TEXT = 256;
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

/** Checks which events are asked for; nothing asks for the latest. */
export function parseTimelineFilter(input: unknown): TimelineFilter {
  const { requestId, replicaId, instanceId, after, limit } = toFields(input);
  if (limit !== undefined && !isVersion(limit)) {
    throw new Error("limit must be a whole number; correct it");
  }
  return {
    requestId: parseText(requestId),
    replicaId: parseText(replicaId),
    instanceId: parseText(instanceId),
    after: parseStamp(after),
    limit: limit === undefined ? undefined : Math.min(limit, MAX_EVENTS),
  };
}

function parseText(value: unknown): string | undefined {
  if (value === undefined) return undefined;
  if (typeof value === "string" && value.length <= MAX_TEXT) return value;
  throw new Error("A filter must be an identifier; correct it");
}

function parseStamp(value: unknown): HybridTimestamp | undefined {
  if (value === undefined) return undefined;
  const { physicalMs, counter } = toFields(value);
  if (isVersion(physicalMs) && isVersion(counter)) {
    return { physicalMs, counter };
  }
  throw new Error("after must be the stamp of an event; correct it");
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
