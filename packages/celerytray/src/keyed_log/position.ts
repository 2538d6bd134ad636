/**
 * Position in a topic of a store, over all eras of the store: the era in the
 * high bits and the offset in the low ones. A store that comes back from an
 * older copy begins an era and gives out the offsets after the copy's end
 * again, so that offsets compare only within one era. Positions compare as
 * numbers and are whole numbers below 2^53.
 */
export type LogPosition = number;

/** Offsets of a topic within one era. */
const OFFSETS_PER_ERA = 2 ** 32;
/** The latest era that a position can hold. */
export const MAX_ERA = 2 ** 21 - 1;

/** Position of an offset in an era; era 0 is that of a store without eras. */
export function createPosition(
  { era, offset }: { readonly era: number; readonly offset: number },
): LogPosition {
  return era * OFFSETS_PER_ERA + offset;
}

/** Era of a position. */
export function eraOf(position: LogPosition): number {
  return Math.floor(position / OFFSETS_PER_ERA);
}

/** Offset of a position within its era. */
export function offsetOf(position: LogPosition): number {
  return position % OFFSETS_PER_ERA;
}
