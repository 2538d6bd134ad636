/** Serving through another process while this one's own links are lost. */
export {
  BackendLinks,
  type DueLinkProbe,
  type LinkChange,
  type LinkState,
} from "./backend_links.ts";
export type { Gateway, RelayedCall } from "./gateway.ts";
export { GatewayChoice, type RelayableCall } from "./gateway_choice.ts";
