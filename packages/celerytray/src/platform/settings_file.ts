import { type Either, Left, Right } from "purify-ts";
import type { HostSettings } from "../host/host_settings.ts";

/** Names of the settings that this program reads, by what they hold. */
const SETTING_NAMES = {
  nodeId: "node_name",
  zone: "zone",
  host: "ip",
  cpuShare: "limits.cpu_share",
  coreSpeed: "limits.cores",
  callerAddress: "listen.front",
  readyAddress: "listen.ready",
  internalPorts: "internal_ports",
  storeAddress: "platform.address",
  graceSeconds: "bounds.grace_s",
  drainMs: "bounds.drain_ms",
  revokeMs: "bounds.revoke_ms",
  configApplyMs: "bounds.config_apply_ms",
  retryRatio: "bounds.retry_ratio",
  retryWindowSeconds: "bounds.retry_window_s",
  retrySlack: "bounds.retry_slack",
  memoryMb: "limits.memory_mb",
  maxDescriptors: "limits.max_fds",
  coldOvershoot: "bounds.cold_overshoot",
  coldSlack: "bounds.cold_slack",
} as const;

/** Prefix of the settings that give the region of a zone. */
const ZONE_REGION_PREFIX = "zones.";

const DEFAULTS: Readonly<Record<string, string>> = {
  [SETTING_NAMES.cpuShare]: "1",
  [SETTING_NAMES.coreSpeed]: "1",
  [SETTING_NAMES.graceSeconds]: "8",
  [SETTING_NAMES.drainMs]: "2000",
  [SETTING_NAMES.revokeMs]: "5000",
  [SETTING_NAMES.configApplyMs]: "2000",
  [SETTING_NAMES.retryRatio]: "0.1",
  [SETTING_NAMES.retryWindowSeconds]: "10",
  [SETTING_NAMES.retrySlack]: "20",
  [SETTING_NAMES.memoryMb]: "256",
  [SETTING_NAMES.maxDescriptors]: "4096",
  [SETTING_NAMES.coldOvershoot]: "1",
  [SETTING_NAMES.coldSlack]: "0",
};

/** Decodes the settings file; the left side has one line for each problem. */
export function decodeSettings(text: string): Either<string, HostSettings> {
  const fields = new Map<string, string>();
  for (const line of text.split("\n")) {
    const separator = line.indexOf("=");
    if (separator > 0) {
      fields.set(line.slice(0, separator).trim(), line.slice(separator + 1));
    }
  }
  const problems: string[] = [];
  const readSetting = (name: string): string => {
    const value = (fields.get(name) ?? DEFAULTS[name] ?? "").trim();
    if (value === "") problems.push(`${name} is missing; add a line for it`);
    return value;
  };
  const readNonNegativeNumber = (name: string): number => {
    const value = readSetting(name);
    const parsed = Number(value);
    if (value !== "" && !(parsed >= 0)) {
      problems.push(`${name} is ${value}; give a number of 0 or more`);
    }
    return parsed;
  };
  const readAddress = (name: string): string => {
    const value = readSetting(name);
    if (value !== "" && !/^[0-9.]+:[0-9]+$/.test(value)) {
      problems.push(`${name} is ${value}; give IP:PORT`);
    }
    return value;
  };
  const [firstPort = "", lastPort = firstPort] = readSetting(
    SETTING_NAMES.internalPorts,
  )
    .split(",");
  const settings: HostSettings = {
    nodeId: readSetting(SETTING_NAMES.nodeId),
    zone: readSetting(SETTING_NAMES.zone),
    zoneRegions: readZoneRegions(fields),
    // `limits.cores` reads like a count of cores, but is a factor by which the
    // share of one core is faster.
    cores: readNonNegativeNumber(SETTING_NAMES.cpuShare) *
      readNonNegativeNumber(SETTING_NAMES.coreSpeed),
    callerAddress: readAddress(SETTING_NAMES.callerAddress),
    readyAddress: readAddress(SETTING_NAMES.readyAddress),
    peerAddress: `${readSetting(SETTING_NAMES.host)}:${firstPort}`,
    metricsAddress: `${readSetting(SETTING_NAMES.host)}:${lastPort}`,
    storeAddress: readAddress(SETTING_NAMES.storeAddress),
    graceMs: readNonNegativeNumber(SETTING_NAMES.graceSeconds) * 1000,
    drainMs: readNonNegativeNumber(SETTING_NAMES.drainMs),
    keyRevocationMs: readNonNegativeNumber(SETTING_NAMES.revokeMs),
    configApplyMs: readNonNegativeNumber(SETTING_NAMES.configApplyMs),
    retryShare: readNonNegativeNumber(SETTING_NAMES.retryRatio),
    retryWindowMs: readNonNegativeNumber(SETTING_NAMES.retryWindowSeconds) *
      1000,
    retrySlackRequests: readNonNegativeNumber(SETTING_NAMES.retrySlack),
    memoryMb: readNonNegativeNumber(SETTING_NAMES.memoryMb),
    maxDescriptors: readNonNegativeNumber(SETTING_NAMES.maxDescriptors),
    coldOvershoot: readNonNegativeNumber(SETTING_NAMES.coldOvershoot),
    coldSlackRequests: readNonNegativeNumber(SETTING_NAMES.coldSlack),
  };
  return problems.length === 0 ? Right(settings) : Left(problems.join("\n"));
}

function readZoneRegions(
  fields: ReadonlyMap<string, string>,
): ReadonlyMap<string, string> {
  return new Map(
    [...fields].filter(([name]) => name.startsWith(ZONE_REGION_PREFIX))
      .map(([name, region]) => [
        name.slice(ZONE_REGION_PREFIX.length),
        region.trim(),
      ]),
  );
}
