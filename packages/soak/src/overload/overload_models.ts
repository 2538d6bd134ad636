import type { FakeModel, HeadLimits } from "@celerytray/fakes";

/** A large model, and a small one that gets more requests than it can serve. */
export const overloadModels: readonly FakeModel[] = [
  { name: "large", size: 6, share: 0.67 },
  { name: "small", size: 3, share: 0.33 },
];
export const zones = ["zone-a", "zone-b", "zone-c"] as const;
export const DOMAINS = 6;
export const INSTANCES_PER_DOMAIN = 11;
export const EVENTS = 31;
export const EVENT_PAUSE_MS = 71;
export const SLOTS = 6;
export const MAX_CONNECTIONS = 24;

/** A head with a full queue accepts few connections beyond those in use. */
export const headLimits: HeadLimits = {
  slots: SLOTS,
  maxWaiting: SLOTS,
  maxConnections: MAX_CONNECTIONS,
  connectionsPerWaiting: 2,
};
