import { type Either, Left, Right } from "purify-ts";

/** A JSON object of unknown content. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Parses a JSON object; the left side describes the error. */
export function parseObject(text: string): Either<string, JsonObject> {
  try {
    const value: unknown = JSON.parse(text);
    if (isObject(value)) return Right(value);
    return Left("the text is not a JSON object");
  } catch (error) {
    return Left(`the text is not JSON: ${(error as Error).message}`);
  }
}

export function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** A field is missing or has the wrong type. */
export class FieldError extends Error {}

export function readString(object: JsonObject, field: string): string {
  const value = object[field];
  if (typeof value === "string" && value !== "") return value;
  throw new FieldError(`${field} must be a non-empty string`);
}

/** Longest name; a longer text is the mistake of another writer. */
const MAX_NAME_CHARACTERS = 256;

/** Reads a short text, which may appear in the log. */
export function readName(object: JsonObject, field: string): string {
  const value = readString(object, field);
  if (value.length <= MAX_NAME_CHARACTERS) return value;
  throw new FieldError(
    `${field} must have ${MAX_NAME_CHARACTERS} characters at most`,
  );
}

/** Reads a whole number from 0 up. */
export function readCount(
  object: JsonObject,
  field: string,
  max = Number.MAX_SAFE_INTEGER,
): number {
  const value = object[field];
  if (Number.isSafeInteger(value) && (value as number) >= 0) {
    if ((value as number) <= max) return value as number;
  }
  throw new FieldError(`${field} must be a whole number from 0 to ${max}`);
}

export function readNumber(
  object: JsonObject,
  field: string,
  fallback?: number,
): number {
  const value = object[field] ?? fallback;
  if (typeof value === "number" && Number.isFinite(value)) return value;
  throw new FieldError(`${field} must be a number`);
}

export function readBoolean(object: JsonObject, field: string): boolean {
  const value = object[field] ?? false;
  if (typeof value === "boolean") return value;
  throw new FieldError(`${field} must be true or false`);
}

export function readObjects(
  object: JsonObject,
  field: string,
): readonly JsonObject[] {
  const value = object[field] ?? [];
  if (Array.isArray(value) && value.every(isObject)) return value;
  throw new FieldError(`${field} must be a list of objects`);
}

export function readStrings(
  object: JsonObject,
  field: string,
): readonly string[] {
  const value = object[field] ?? [];
  if (
    Array.isArray(value) && value.every((item) => typeof item === "string")
  ) return value;
  throw new FieldError(`${field} must be a list of strings`);
}

/** Reads a list of short texts. */
export function readNames(
  object: JsonObject,
  field: string,
): readonly string[] {
  const names = readStrings(object, field);
  if (names.every(({ length }) => length <= MAX_NAME_CHARACTERS)) return names;
  throw new FieldError(
    `${field} must have ${MAX_NAME_CHARACTERS} characters a name at most`,
  );
}

/** Runs a decoder; the message of a `FieldError` becomes the left side. */
export function decode<Value>(run: () => Value): Either<string, Value> {
  try {
    return Right(run());
  } catch (error) {
    if (error instanceof FieldError) return Left(error.message);
    throw error;
  }
}
