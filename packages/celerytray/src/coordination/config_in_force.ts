import {
  encodeRelayedRecord,
  type KeyedRecord,
  type RelayedRecord,
} from "../keyed_log/index.ts";

/** The configuration that is in force at a process. */
export interface ConfigInForce {
  /** Its version; -1 without one. */
  readonly version: () => number;
  /**
   * Its record, if the store may have come back from an older copy that lacks
   * it; undefined otherwise.
   */
  readonly earlierRecord: () => KeyedRecord | undefined;
  /** Applies the record of another process, which may have a higher version. */
  readonly onOffered: (record: RelayedRecord) => void;
}

/** What processes tell each other of the configuration in force. */
export interface ToldConfig {
  /** Version in force; absent from earlier versions of the program. */
  readonly configVersion?: number;
  /** Its record, for a process with a lower version. */
  readonly configRecord?: RelayedRecord;
}

/** What to tell a process with a version in force, undefined if not known. */
export function describeConfig(
  config: ConfigInForce | undefined,
  knownVersion: number | undefined,
): ToldConfig {
  if (config === undefined) return {};
  const configVersion = config.version();
  const record = config.earlierRecord();
  const isNews = knownVersion !== undefined && knownVersion < configVersion;
  return {
    configVersion,
    ...(record !== undefined && isNews
      ? { configRecord: encodeRelayedRecord(record) }
      : {}),
  };
}

/** Applies what another process told; anything else is left out. */
export function applyToldConfig(
  config: ConfigInForce | undefined,
  { configRecord }: ToldConfig,
): void {
  if (isRelayedRecord(configRecord)) config?.onOffered(configRecord);
}

function isRelayedRecord(input: unknown): input is RelayedRecord {
  const { key, text, packed, offset } = (input ?? {}) as Partial<RelayedRecord>;
  const isText = (value: unknown) =>
    value === undefined || typeof value === "string";
  return typeof key === "string" && isText(text) && isText(packed) &&
    Number.isSafeInteger(offset);
}
