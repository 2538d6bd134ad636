import { expect } from "earl";
import { it } from "node:test";
import { retryPauseMs } from "./follow_store.ts";

/** Most reads a second of one topic while the store refuses all of them. */
const MAX_READS_PER_SECOND = 80;
const MAX_LEAD_PAUSE_MS = 250;

it("bounds the reads of all processes while the store refuses them", () => {
  for (const nodes of [1, 7, 83, 300]) {
    const followers = nodes - 1;
    const readsPerSecond = followers * 1_000 /
      retryPauseMs({ isLeading: false, nodes });
    expect(readsPerSecond <= MAX_READS_PER_SECOND).toEqual(true);
  }
});

it("lets the lead notice soon that the store is back", () => {
  for (const nodes of [1, 83]) {
    expect(retryPauseMs({ isLeading: true, nodes }) <= MAX_LEAD_PAUSE_MS)
      .toEqual(true);
  }
});
