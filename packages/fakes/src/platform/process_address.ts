/** First octets of the addresses, all of which are loopback. */
const FIRST_OCTET = 127;
/** Keeps the second octet apart from that of 127.0.0.1. */
const SECOND_OCTET_BASE = 64;
const OCTET_BITS = 8;
const OCTET_MASK = 0xff;

/** The loopback address from which a labelled process connects. */
export function addressOfProcess(pid: number): string {
  return [
    FIRST_OCTET,
    SECOND_OCTET_BASE + (pid >> (2 * OCTET_BITS)),
    (pid >> OCTET_BITS) & OCTET_MASK,
    pid & OCTET_MASK,
  ].join(".");
}
