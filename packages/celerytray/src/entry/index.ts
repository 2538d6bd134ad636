/** An entry instance, put together. */
export {
  createEntryInstance,
  type EntryInstance,
  type EntryInstanceOptions,
} from "./create_entry_instance.ts";
export { createExchangedConfig } from "./entry_membership.ts";
