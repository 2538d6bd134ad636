import { eraOf, type LogPosition, offsetOf } from "../../keyed_log/index.ts";

/**
 * Whether an operator's release is a later one than another. A release that
 * survived the store's return from an older copy has a later position at the
 * same offset, and is no later release.
 */
export function isLaterRelease(
  release: LogPosition,
  other: LogPosition,
): boolean {
  const isSame = eraOf(release) !== eraOf(other) && other >= 0 &&
    offsetOf(release) === offsetOf(other);
  return release > other && !isSame;
}
