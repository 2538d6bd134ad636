/** Helpers for lists and maps. */
export { groupBy } from "./group_by.ts";
