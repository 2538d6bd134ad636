const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIME_PREFIX = /^([0-9]{13})-.+$/;

/**
 * Time at which an idempotency key was issued, in Unix milliseconds: from a UUID
 * of version 7 (RFC 9562) or 13 digits before a hyphen; undefined for other
 * keys. The time is part of the key, so a retry can't change it.
 */
export function findKeyIssuedAtMs(key: string): number | undefined {
  const uuid = UUID_V7.exec(key);
  if (uuid !== null) return Number.parseInt(`${uuid[1]}${uuid[2]}`, 16);
  const prefixed = TIME_PREFIX.exec(key);
  return prefixed === null ? undefined : Number(prefixed[1]);
}
