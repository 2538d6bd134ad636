/** Validation problems, and conversion of purify-ts results into effects. */
export { fromEither } from "./from_either.ts";
export {
  findFirstValidationProblem,
  listValidationProblems,
  type ValidationProblem,
} from "./validation_problem.ts";
