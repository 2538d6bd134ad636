import { type Either, Left, Right } from "purify-ts";

/** A JSON object of unknown content. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Parses a JSON object. */
export function parseObject(text: string): Either<string, JsonObject> {
  try {
    const value: unknown = JSON.parse(text);
    if (isObject(value)) return Right(value);
    return Left("It is not a JSON object");
  } catch (error) {
    return Left(`It is not JSON: ${(error as Error).message}`);
  }
}

export function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** A field of another type than the protocol gives it. */
export class FieldProblem extends Error {}

export function readString(object: JsonObject, field: string): string {
  const value = object[field];
  if (typeof value === "string" && value !== "") return value;
  throw new FieldProblem(`${field} must be a text`);
}

export function readNumber(
  object: JsonObject,
  field: string,
  fallback?: number,
): number {
  const value = object[field] ?? fallback;
  if (typeof value === "number" && Number.isFinite(value)) return value;
  throw new FieldProblem(`${field} must be a number`);
}

export function readFlag(object: JsonObject, field: string): boolean {
  const value = object[field] ?? false;
  if (typeof value === "boolean") return value;
  throw new FieldProblem(`${field} must be true or false`);
}

export function readObjects(
  object: JsonObject,
  field: string,
): readonly JsonObject[] {
  const value = object[field] ?? [];
  if (Array.isArray(value) && value.every(isObject)) return value;
  throw new FieldProblem(`${field} must be a list of objects`);
}

export function readStrings(
  object: JsonObject,
  field: string,
): readonly string[] {
  const value = object[field] ?? [];
  if (
    Array.isArray(value) && value.every((item) => typeof item === "string")
  ) return value;
  throw new FieldProblem(`${field} must be a list of texts`);
}

/** Runs a decoder; a field's problem becomes the left side. */
export function decode<Value>(run: () => Value): Either<string, Value> {
  try {
    return Right(run());
  } catch (error) {
    if (error instanceof FieldProblem) return Left(error.message);
    throw error;
  }
}
