import { expect } from "earl";
import { describe, it } from "node:test";
import { KnownSilences } from "./known_silences.ts";

const ID = "i-1";
const CALL_MS = 350;

// Guards against a new leader that waits once more until a dead member counts as
// lost, and against one that adds up short silences of a sound one.
describe("KnownSilences", () => {
  it("tells since when an instance has answered no call", () => {
    const silences = createSilences();
    for (const askedAtMs of [1_000, 1_700, 2_400]) {
      silences.note("unanswered", askedAtMs);
    }
    expect(silences.listSince(2_800)).toEqual([[ID, 1_000]]);
  });

  it("forgets a silence at an answer, and with time", () => {
    const silences = createSilences();
    silences.note("unanswered", 1_000);
    silences.note("answered", 1_400);
    silences.note("unanswered", 1_800);
    expect(silences.listSince(2_200)).toEqual([[ID, 1_800]]);
    expect(silences.listSince(1_800 + CALL_MS + 1_501)).toEqual([]);
  });

  it("learns nothing from calls that can't tell", () => {
    const silences = createSilences();
    silences.note("unknown", 1_000);
    expect(silences.listSince(1_400)).toEqual([]);
  });
});

function createSilences() {
  const silences = new KnownSilences();
  return {
    note: (reach: "answered" | "unanswered" | "unknown", askedAtMs: number) =>
      silences.note({ [ID]: reach }, {
        askedAtMs,
        nowMs: askedAtMs + CALL_MS,
      }),
    listSince: (nowMs: number) => [...silences.listSince(nowMs)],
  };
}
