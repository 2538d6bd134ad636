import { Data } from "effect";

/** One fault of a configuration, with its place and remedy. */
export class ConfigProblem extends Data.Class<{
  /** File it stands in; empty when it arises from the merge. */
  readonly file: string;
  /** Dotted path of the field. */
  readonly field: string;
  /** What is wrong and how to put it right. */
  readonly message: string;
}> {
  /** One line for people. */
  override toString(): string {
    const place = [this.file, this.field].filter((part) => part !== "");
    return `${place.join(": ")}: ${this.message}`;
  }
}

/** A configuration was turned down as a whole. */
export class ConfigRejected extends Data.TaggedError("ConfigRejected")<{
  readonly problems: readonly ConfigProblem[];
  readonly message: string;
}> {}
