/** Typed errors and their conversion between purify-ts and effect. */
export { fromEither } from "./from_either.ts";
export {
  type FieldProblem,
  findFirstValidationProblem,
  listValidationProblems,
} from "./validation_message.ts";
