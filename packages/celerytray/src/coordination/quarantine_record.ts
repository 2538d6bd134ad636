import { isQuarantinedPart, type QuarantinedPart } from "../serving/index.ts";

const QUARANTINE_PREFIX = "quarantine/";

/** Key of the record of a part in quarantine, in the fleet topic. */
export function createQuarantineKey(part: string): string {
  return `${QUARANTINE_PREFIX}${part}`;
}

/** Encodes the record of a part in quarantine. */
export function encodeQuarantine(
  { crashes, releaseOffset }: QuarantinedPart,
): Buffer {
  return Buffer.from(JSON.stringify({ crashes, releaseOffset }));
}

/**
 * Decodes the record of a part in quarantine; undefined for records of other
 * keys and for those that can't be read.
 */
export function decodeQuarantine(
  { key, value }: { readonly key: string; readonly value?: Buffer },
): QuarantinedPart | undefined {
  if (!key.startsWith(QUARANTINE_PREFIX) || value === undefined) return;
  const part = key.slice(QUARANTINE_PREFIX.length);
  try {
    const { crashes, releaseOffset } = JSON.parse(value.toString("utf8"));
    const entry = { part, crashes, releaseOffset };
    return isQuarantinedPart(entry) ? entry : undefined;
  } catch {
    // The fleet topic may hold records of a newer version.
    return undefined;
  }
}
