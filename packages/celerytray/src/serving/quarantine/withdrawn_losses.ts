import { HELD_CRASHES } from "./crash_evidence.ts";
import type { SuspectPart } from "./quarantine_report.ts";

/**
 * Reported losses of incarnations that turned out to live. The processes that
 * report them still count them, until a leader that names the part with as many
 * says that it is only suspected.
 */
export class WithdrawnLosses {
  readonly #counts = new Map<string, number>();

  note(part: string): void {
    this.#counts.set(part, (this.#counts.get(part) ?? 0) + 1);
  }

  /**
   * Adds what outweighs the withdrawn losses to the parts that are named; held
   * parts come first, and then those with the most reported losses.
   */
  complete(
    named: readonly SuspectPart[],
    { isOpen, releaseOffset }: {
      /** Whether a part is not in quarantine. */
      readonly isOpen: (part: string) => boolean;
      readonly releaseOffset: (part: string) => number;
    },
  ): readonly SuspectPart[] {
    const known = new Set(named.map(({ part }) => part));
    const completed = named.map((suspect) =>
      suspect.state === "suspected"
        ? { ...suspect, crashes: suspect.crashes + this.#count(suspect.part) }
        : suspect
    );
    const added = [...this.#counts].flatMap(([part, crashes]) =>
      crashes < HELD_CRASHES || known.has(part) || !isOpen(part) ? [] : [{
        part,
        crashes,
        releaseOffset: releaseOffset(part),
        state: "suspected" as const,
      }]
    );
    const others = [...completed, ...added].filter(({ state }) =>
      state === "suspected"
    );
    return [
      ...completed.filter(({ state }) => state !== "suspected"),
      ...others.sort((a, b) => b.crashes - a.crashes),
    ];
  }

  #count(part: string): number {
    return this.#counts.get(part) ?? 0;
  }
}
