/** One process on a machine of the deployment. */
export { createHost } from "./create_host.ts";
export type { Host, HostOptions, HostPorts } from "./host_options.ts";
export { recordFault } from "./keep_running.ts";
export type { HostSettings } from "./host_settings.ts";
