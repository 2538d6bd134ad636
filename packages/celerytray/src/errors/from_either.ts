import { Effect } from "effect";
import type { Either } from "purify-ts";

/** Converts an Either into an effect that fails with the left value. */
export function fromEither<Error, Value>(
  either: Either<Error, Value>,
): Effect.Effect<Value, Error> {
  return either.caseOf<Effect.Effect<Value, Error>>({
    Left: (error) => Effect.fail(error),
    Right: (value) => Effect.succeed(value),
  });
}
