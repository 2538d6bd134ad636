/** Entry instances: who is there, and who prefers to act on what. */
export { selectPreferred } from "./select_preferred.ts";
