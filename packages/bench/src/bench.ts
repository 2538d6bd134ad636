/** What a measurement found. */
export interface BenchResult {
  /** One object per line of the table. */
  readonly rows: readonly Readonly<Record<string, string | number | boolean>>[];
  /** Whether each stated target was reached, with the figure. */
  readonly targets: readonly {
    readonly target: string;
    readonly measured: string;
    readonly isReached: boolean;
  }[];
}

/** A named measurement. */
export interface Bench {
  readonly name: string;
  readonly description: string;
  readonly run: () => Promise<BenchResult>;
}
