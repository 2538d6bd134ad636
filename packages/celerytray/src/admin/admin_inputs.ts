import { DRAIN_KINDS, type DrainTarget } from "../config/index.ts";
import type { HybridTimestamp, TimelineFilter } from "../timeline/index.ts";
import type {
  ConfigApplication,
  ConfigRollback,
  DrainChange,
} from "./admin_operations.ts";

const AUTHOR_PATTERN = /^[^\p{Cc}]{1,128}$/u;
const MAX_EVENTS = 10_000;
const MAX_ID_LENGTH = 256;
const NAME_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;

/** Parses the input of `applyConfig`; throws if it is invalid. */
export function parseConfigApplication(input: unknown): ConfigApplication {
  const { config, refinesVersion, author } = toFields(input);
  if (typeof config !== "object" || config === null) {
    throw new Error(
      "The input has no configuration; use celerytray config apply",
    );
  }
  if (refinesVersion !== undefined && !isNonNegativeInteger(refinesVersion)) {
    throw new Error(
      "refinesVersion must be a non-negative integer; correct it",
    );
  }
  return { config, refinesVersion, author: parseAuthor(author) };
}

/** Parses the input of `rollbackConfig`; throws if it is invalid. */
export function parseRollback(input: unknown): ConfigRollback {
  const { version, author } = toFields(input);
  if (!isNonNegativeInteger(version)) {
    throw new Error(
      "version must be a non-negative integer; see celerytray config history",
    );
  }
  return { version, author: parseAuthor(author) };
}

/** Parses the input of `drain`; throws if it is invalid. */
export function parseDrainChange(input: unknown): DrainChange {
  const { target, isDrained, author } = toFields(input);
  if (typeof isDrained !== "boolean") {
    throw new Error(
      "The input has no isDrained; use celerytray drain or undrain",
    );
  }
  return {
    target: parseTarget(target),
    isDrained,
    author: parseAuthor(author),
  };
}

/**
 * Parses the filter of a timeline; throws if it is invalid. An empty one
 * selects the latest events.
 */
export function parseTimelineFilter(input: unknown): TimelineFilter {
  const { requestId, replicaId, instanceId, after, limit } = toFields(input);
  if (limit !== undefined && !isNonNegativeInteger(limit)) {
    throw new Error("limit must be a non-negative integer; correct it");
  }
  return {
    requestId: parseIdentifier(requestId),
    replicaId: parseIdentifier(replicaId),
    instanceId: parseIdentifier(instanceId),
    after: parseTimestamp(after),
    limit: limit === undefined ? undefined : Math.min(limit, MAX_EVENTS),
  };
}

function parseIdentifier(value: unknown): string | undefined {
  if (value === undefined) return undefined;
  if (typeof value === "string" && value.length <= MAX_ID_LENGTH) return value;
  throw new Error(
    "A filter must be an identifier; correct or shorten it",
  );
}

function parseTimestamp(value: unknown): HybridTimestamp | undefined {
  if (value === undefined) return undefined;
  const { physicalMs, counter } = toFields(value);
  if (isNonNegativeInteger(physicalMs) && isNonNegativeInteger(counter)) {
    return { physicalMs, counter };
  }
  throw new Error("after must be the timestamp of an event; correct it");
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

function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
