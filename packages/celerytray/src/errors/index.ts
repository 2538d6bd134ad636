/** Typed errors and their conversion between purify-ts and effect. */
export { fromEither } from "./from_either.ts";
export {
  describeValidationErrors,
  type FieldProblem,
  firstValidationMessage,
} from "./validation_message.ts";
