import { createHash } from "node:crypto";

/**
 * The candidate that rendezvous hashing selects for a name; undefined if there
 * are none. A preference only saves work; correctness never depends on it.
 */
export function selectPreferred(
  name: string,
  candidates: readonly string[],
): string | undefined {
  let preferred: string | undefined;
  let highest = -1;
  for (const candidate of candidates) {
    const score = scoreCandidate(name, candidate);
    if (score > highest) {
      highest = score;
      preferred = candidate;
    }
  }
  return preferred;
}

function scoreCandidate(name: string, candidate: string): number {
  const digest = createHash("sha256").update(`${candidate}\n${name}`).digest();
  return digest.readUIntBE(0, 6);
}
