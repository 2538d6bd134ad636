import type { ConfigSet } from "@celerytray/schema";
import {
  type Admission,
  CallSlots,
  DemandMeter,
  RateAdmission,
} from "../admission/index.ts";
import type { PeerDemand } from "../membership/index.ts";

/** Options of an entry instance's admission control. */
export interface EntryAdmissionOptions {
  readonly nowMs: () => number;
  readonly countEntries: () => number;
  readonly config: () => ConfigSet;
  readonly countReadyReplicas: (service: string) => number;
  /** Demand of this and the other entry instances. */
  readonly demand: PeerDemand;
}

/** Admission control of an entry instance. */
export interface EntryAdmission {
  readonly admission: Admission;
  readonly slots: CallSlots;
}

/** Creates the rate limits per organisation and the slots per service. */
export function createEntryAdmission(
  options: EntryAdmissionOptions,
): EntryAdmission {
  const { demand, nowMs } = options;
  const rates = new RateAdmission({
    shareOf: (name) => demand.shareOf(name, nowMs()),
  });
  const meter = new DemandMeter({
    onRate: (name, rate) => demand.setOwnDemand(name, rate),
  });
  return {
    admission: {
      admit: (request) => {
        meter.noteOffered(request.organisationName, request.nowMs);
        return rates.admit(request);
      },
    },
    slots: new CallSlots({
      slotCountOf: (service) => countSlots(service, options),
    }),
  };
}

/**
 * This entry instance's share of a service's concurrent calls; undefined for no
 * limit.
 */
function countSlots(
  serviceName: string,
  options: EntryAdmissionOptions,
): number | undefined {
  const service = options.config().services[serviceName];
  const perReplica = service?.maxConcurrentPerReplica;
  const replicaCount = options.countReadyReplicas(serviceName);
  if (perReplica === undefined || replicaCount === 0) return undefined;
  const entryCount = Math.max(1, options.countEntries());
  return Math.max(1, Math.floor(perReplica * replicaCount / entryCount));
}
