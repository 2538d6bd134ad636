import type { ValidationError, Validator } from "@celerytray/schema";

/** A field that a validator turned down, with what to do about it. */
export interface FieldProblem {
  /** Dotted path of the field; empty for the whole value. */
  readonly field: string;
  /** What is wrong and how to put it right. */
  readonly message: string;
}

/** Says what the first error of a validator's last run means, or undefined if it had none. */
export function findFirstValidationProblem(
  validator: Validator,
): FieldProblem | undefined {
  const error = validator.errors?.[0];
  return error && describeValidationError(error);
}

/** All problems of a validator's last run, each with a remedy. */
export function listValidationProblems(
  validator: Validator,
): FieldProblem[] {
  return (validator.errors ?? []).map(describeValidationError);
}

function describeValidationError(error: ValidationError): FieldProblem {
  const parent = error.instancePath.slice(1).replaceAll("/", ".");
  switch (error.keyword) {
    case "additionalProperties": {
      const name = String(error.params.additionalProperty);
      return {
        field: joinField(parent, name),
        message: "unknown field; remove it or correct its spelling",
      };
    }
    case "required": {
      const name = String(error.params.missingProperty);
      return {
        field: joinField(parent, name),
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
        field: joinField(parent, String(error.params.tag)),
        message: "has no such kind; use a kind that the documentation lists",
      };
    default:
      return { field: parent, message: `${error.message}; correct the value` };
  }
}

function joinField(parent: string, name: string): string {
  return parent === "" ? name : `${parent}.${name}`;
}
