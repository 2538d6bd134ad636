/** One process on a machine of the deployment. */
export {
  createHost,
  type Host,
  type HostOptions,
  type HostPorts,
} from "./create_host.ts";
export { recordFault } from "./keep_running.ts";
export type { HostSettings } from "./host_settings.ts";
