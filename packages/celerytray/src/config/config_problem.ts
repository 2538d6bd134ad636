import { Data } from "effect";

/** An error in a configuration, with its location and remedy. */
export class ConfigProblem extends Data.Class<{
  /** File that contains it; empty if it arises from the merge. */
  readonly file: string;
  /** Dotted path of the field. */
  readonly field: string;
  /** What is wrong and how to correct it. */
  readonly message: string;
}> {
  /** Formats the problem as one line for operators. */
  override toString(): string {
    const location = [this.file, this.field].filter((part) => part !== "");
    return `${location.join(": ")}: ${this.message}`;
  }
}

/** A configuration was rejected; none of it takes effect. */
export class ConfigRejected extends Data.TaggedError("ConfigRejected")<{
  readonly problems: readonly ConfigProblem[];
  readonly message: string;
}> {}
