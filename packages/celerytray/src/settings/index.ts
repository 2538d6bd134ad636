/** Process settings from flags and environment variables. */
export {
  listSettings,
  parseEntrySettings,
  type ResolvedEntrySettings,
  type SettingDescription,
  SettingsRejected,
} from "./parse_entry_settings.ts";
export { readSecrets, type Secrets } from "./read_secrets.ts";
