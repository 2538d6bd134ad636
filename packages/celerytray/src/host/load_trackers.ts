import {
  BackoffTracker,
  LoadTracker,
  PaceTracker,
  PromptBacklog,
  QueueWaitEstimator,
  SilenceStats,
  StallDetector,
} from "../serving/index.ts";

/** Trackers of instance load and health, from this process's own requests. */
export interface LoadTrackers {
  readonly loads: LoadTracker;
  readonly backoffs: BackoffTracker;
  readonly queueWaits: QueueWaitEstimator;
  readonly stalls: StallDetector;
  readonly paces: PaceTracker;
  readonly silences: SilenceStats;
  readonly prompts: PromptBacklog;
}

export function createLoadTrackers(
  { isBehind }: { readonly isBehind: (nowMs: number) => boolean },
): LoadTrackers {
  const loads = new LoadTracker();
  const queueWaits = new QueueWaitEstimator(loads);
  const silences = new SilenceStats();
  const stalls = new StallDetector({
    usualSilenceMs: (model, awaited) => silences.usualMaxMs(model, awaited),
    queueWaitMs: (request, atMs) => queueWaits.expectedWaitMs(request, atMs),
    isBehind,
  });
  return {
    loads,
    backoffs: new BackoffTracker(),
    queueWaits,
    stalls,
    paces: new PaceTracker(),
    silences,
    prompts: new PromptBacklog(),
  };
}

/** Removes instances that are no longer listed. */
export function removeAbsentInstances(
  { loads, backoffs, stalls, paces }: LoadTrackers,
  isPresent: (instanceId: string) => boolean,
  nowMs: number,
): void {
  loads.keepOnly(isPresent);
  paces.keepOnly(isPresent);
  stalls.keepOnly(isPresent);
  backoffs.keepOnly(isPresent, nowMs);
}
