import { cutModes } from "@celerytray/fakes";
import type { CutLinks } from "./fault_action.ts";
import type { PlannedFault, PlanTargets } from "./planned_fault.ts";
import type { PlanRandom } from "./plan_random.ts";

const SERIES_DURATION_MS = 4_000;
const MIN_CUT_MS = 3_000;
const MAX_CUT_MS = 8_000;
/** Long enough to be judged. */
const MIN_CUT_ALONE_MS = 6_000;
const MAX_CUT_ALONE_AT_MS = 1_000;

/** In half the series. */
export function drawCut(
  random: PlanRandom,
  targets: PlanTargets,
): readonly PlannedFault[] {
  const cut: PlannedFault = {
    atMs: random.integer(0, SERIES_DURATION_MS),
    durationMs: random.integer(MIN_CUT_MS, MAX_CUT_MS),
    action: drawCutAction(random, targets),
  };
  return random.pick([[], [cut]]);
}

/** Without other faults of processes, which would keep it from being judged. */
export function drawCutAlone(
  random: PlanRandom,
  targets: PlanTargets,
): PlannedFault {
  return {
    atMs: random.integer(0, MAX_CUT_ALONE_AT_MS),
    durationMs: random.integer(MIN_CUT_ALONE_MS, MAX_CUT_MS),
    action: drawCutAction(random, targets),
  };
}

function drawCutAction(
  random: PlanRandom,
  { processes, zoneProcesses }: PlanTargets,
): CutLinks {
  return {
    kind: "cut-links",
    processes: random.pick(
      [
        [random.pick(processes)],
        random.pick(zoneProcesses),
        "leader",
      ] as const,
    ),
    mode: random.pick(cutModes),
  };
}
