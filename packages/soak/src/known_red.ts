/** Which checks are known to fail, by seed. */
export type KnownRed = ReadonlyMap<number, ReadonlySet<string>>;

const ENTRY_START = "soak: ";
const SEED = /--first-seed (\d+)/g;

/**
 * Reads the list of known failures. An entry of a seed names the checks that
 * fail, in its paragraph.
 */
export function readKnownRed(
  text: string,
  checkNames: readonly string[],
): KnownRed {
  const entries = text.split("\n\n").filter((entry) =>
    entry.startsWith(ENTRY_START)
  );
  return new Map(entries.flatMap((entry) => {
    const [command] = entry.split("\n");
    const checks = new Set(
      checkNames.filter((name) => entry.includes(` ${name},`)),
    );
    return [...command!.matchAll(SEED)].map((match) =>
      [Number(match[1]), checks] as const
    );
  }));
}

/** Whether all failed checks of a seed are known to fail. */
export function isKnownRed(
  known: KnownRed,
  { seed, failedChecks }: {
    readonly seed: number;
    readonly failedChecks: readonly string[];
  },
): boolean {
  return failedChecks.length > 0 &&
    failedChecks.every((check) => known.get(seed)?.has(check) === true);
}
