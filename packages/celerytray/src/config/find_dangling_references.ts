import type { ConfigSet } from "@celerytray/schema";

/** A reference to a name that is not declared. */
export interface DanglingReference {
  /** Dotted path of the field that contains the reference. */
  readonly field: string;
  readonly message: string;
}

/** Names of the entries to check; all of a section if undefined. */
export interface ReferenceScope {
  readonly services?: readonly string[] | undefined;
  readonly organisations?: readonly string[] | undefined;
}

/** Lists references to services and deployments that are not declared. */
export function findDanglingReferences(
  config: ConfigSet,
  scope: ReferenceScope = {},
): DanglingReference[] {
  const services = scope.services ?? Object.keys(config.services);
  const organisations = scope.organisations ??
    Object.keys(config.organisations);
  return [
    ...services.flatMap((name) => checkService(config, name)),
    ...organisations.flatMap((name) => checkOrganisation(config, name)),
  ];
}

function checkService(config: ConfigSet, name: string): DanglingReference[] {
  const { deployment } = config.services[name]!;
  if (Object.hasOwn(config.deployments, deployment)) return [];
  return [{
    field: `services.${name}.deployment`,
    message:
      `no deployment is named ${deployment}; declare it under deployments`,
  }];
}

function checkOrganisation(
  config: ConfigSet,
  name: string,
): DanglingReference[] {
  const missing = config.organisations[name]!.services.filter((service) =>
    !Object.hasOwn(config.services, service)
  );
  return missing.map((service) => ({
    field: `organisations.${name}.services`,
    message: `no service is named ${service}; declare it under services`,
  }));
}
