/** Result of a benchmark. */
export interface BenchResult {
  /** One object per row of the table. */
  readonly rows: readonly Readonly<Record<string, string | number | boolean>>[];
  /** Each target, the measured figure and whether the target was reached. */
  readonly targets: readonly {
    readonly target: string;
    readonly measured: string;
    readonly isReached: boolean;
  }[];
}

/** A named benchmark. */
export interface Bench {
  readonly name: string;
  readonly description: string;
  readonly run: () => Promise<BenchResult>;
}
