import type { ConfigSet } from "@celerytray/schema";
import {
  type Admission,
  CallSlots,
  computeShare,
  EqualDemand,
  type PeerDemand,
  RateAdmission,
} from "../admission/index.ts";

/** Options of an entry instance's admission. */
export interface EntryAdmissionOptions {
  readonly entryId: string;
  readonly listEntryIds: () => readonly string[];
  readonly config: () => ConfigSet;
  readonly countReadyReplicas: (service: string) => number;
  /** Demand of the other entry instances; equal shares without it. */
  readonly peers?: PeerDemand;
}

/** The admission of an entry instance. */
export interface EntryAdmission {
  readonly admission: Admission;
  readonly slots: CallSlots;
}

/** Creates the limits per organisation and the slots per service. */
export function createEntryAdmission(
  options: EntryAdmissionOptions,
): EntryAdmission {
  const { entryId, listEntryIds } = options;
  const peers = options.peers ?? new EqualDemand({ listEntryIds });
  return {
    admission: new RateAdmission({
      shareOf: (name) => computeShare(name, { entryId, peers }),
    }),
    slots: new CallSlots({
      slotCountOf: (service) => countSlots(service, options),
    }),
  };
}

/** This entry instance's part of what a service's replicas run at once. */
function countSlots(
  serviceName: string,
  options: EntryAdmissionOptions,
): number | undefined {
  const service = options.config().services[serviceName];
  const perReplica = service?.maxConcurrentPerReplica;
  const replicaCount = options.countReadyReplicas(serviceName);
  if (perReplica === undefined || replicaCount === 0) return undefined;
  const entryCount = Math.max(1, options.listEntryIds().length);
  return Math.max(1, Math.floor(perReplica * replicaCount / entryCount));
}
