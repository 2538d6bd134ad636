import type { ConfigSet } from "@celerytray/schema";

/** Sizes of a sample configuration. */
export interface SampleConfigOptions {
  readonly organisationCount?: number;
  readonly serviceCount?: number;
}

/** Creates a valid configuration with the given numbers of organisations and services. */
export function createSampleConfig(
  options: SampleConfigOptions = {},
): ConfigSet {
  const { organisationCount = 3, serviceCount = 3 } = options;
  const services = createNames("service", serviceCount);
  return {
    availabilityZones: { "zone-a": {}, "zone-b": {}, "zone-c": {} },
    deployments: { dispatcher: { weighting: "group-downtime" } },
    services: Object.fromEntries(services.map((name) => [name, {
      kind: "model",
      deployment: "dispatcher",
      replicaCount: 10,
      instancesPerReplica: 8,
      model: "draft-7b",
    }])),
    organisations: Object.fromEntries(
      createNames("organisation", organisationCount).map((name, index) => [
        name,
        {
          apiKeySha256: [index.toString(16).padStart(64, "0")],
          services,
          requestsPerSecond: 20,
        },
      ]),
    ),
  };
}

/** Returns a copy with another replica count for the first service. */
export function setReplicaCount(config: ConfigSet, count: number): ConfigSet {
  const [name, service] = Object.entries(config.services)[0]!;
  const changed = { ...service, replicaCount: count };
  return { ...config, services: { ...config.services, [name]: changed } };
}

function createNames(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}
