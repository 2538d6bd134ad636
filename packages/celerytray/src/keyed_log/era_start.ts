import { eraOf, type LogPosition } from "./position.ts";

/**
 * When an era of the store began and where, as far as known. The store came back
 * from a copy no later than said, and the copy of the topic ends no later than
 * said: what lies behind that was written after the return.
 */
export interface EraStart {
  readonly copyEnd: LogPosition;
  readonly returnedAtMs: number;
}

/** The start of an era as told to another process, which has another clock. */
export interface ToldEraStart {
  readonly copyEnd: LogPosition;
  readonly ageMs: number;
}

/** Returns the start of an era as told; undefined if that can't be read. */
export function readEraStart(
  told: unknown,
  { nextOffset, toldAtMs }: {
    /** Position up to which the topic was told. */
    readonly nextOffset: LogPosition;
    readonly toldAtMs: number;
  },
): EraStart | undefined {
  const { copyEnd, ageMs } = (told ?? {}) as Partial<ToldEraStart>;
  const isValid = Number.isSafeInteger(copyEnd) && Number.isFinite(ageMs) &&
    ageMs! >= 0 && copyEnd! <= nextOffset &&
    eraOf(copyEnd!) === eraOf(nextOffset);
  return isValid
    ? { copyEnd: copyEnd!, returnedAtMs: toldAtMs - ageMs! }
    : undefined;
}
