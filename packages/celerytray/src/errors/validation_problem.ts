import type { ValidationError, Validator } from "@celerytray/schema";

/** A field that a validator rejected, with the remedy. */
export interface ValidationProblem {
  /** Dotted path of the field; empty for the whole value. */
  readonly field: string;
  /** What is wrong and how to correct it. */
  readonly message: string;
}

/** First problem of a validator's last run; undefined if it was valid. */
export function findFirstValidationProblem(
  validator: Validator,
): ValidationProblem | undefined {
  const error = validator.errors?.[0];
  return error && toValidationProblem(error);
}

/** All problems of a validator's last run. */
export function listValidationProblems(
  validator: Validator,
): ValidationProblem[] {
  return (validator.errors ?? []).map(toValidationProblem);
}

function toValidationProblem(error: ValidationError): ValidationProblem {
  const parent = error.instancePath.slice(1).replaceAll("/", ".");
  switch (error.keyword) {
    case "additionalProperties": {
      const name = String(error.params.additionalProperty);
      return {
        field: joinPath(parent, name),
        message: "unknown field; remove it or correct its spelling",
      };
    }
    case "required": {
      const name = String(error.params.missingProperty);
      return {
        field: joinPath(parent, name),
        message: "missing field; add it",
      };
    }
    case "enum": {
      const allowed = error.params.allowedValues as readonly unknown[];
      return {
        field: parent,
        message: `must be one of ${allowed.join(", ")}`,
      };
    }
    case "discriminator":
      return {
        field: joinPath(parent, String(error.params.tag)),
        message: "has no such kind; use a kind that the documentation lists",
      };
    default:
      return { field: parent, message: `${error.message}; correct the value` };
  }
}

function joinPath(parent: string, name: string): string {
  return parent === "" ? name : `${parent}.${name}`;
}
