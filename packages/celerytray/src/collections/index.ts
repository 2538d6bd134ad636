/** Collection utilities. */
export { groupBy } from "./group_by.ts";
