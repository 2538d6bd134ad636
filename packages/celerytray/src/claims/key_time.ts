const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIME_PREFIX = /^([0-9]{13})-.+$/;

/**
 * When an idempotency key was issued, Unix time: from a UUID of version 7
 * (RFC 9562) or 13 digits of milliseconds before a hyphen. The time is part of
 * the key, so that a retry cannot bring another one.
 */
export function findKeyIssuedAtMs(key: string): number | undefined {
  const uuid = UUID_V7.exec(key);
  if (uuid !== null) return Number.parseInt(`${uuid[1]}${uuid[2]}`, 16);
  const prefixed = TIME_PREFIX.exec(key);
  return prefixed === null ? undefined : Number(prefixed[1]);
}
