import { type Either, Left, Right } from "purify-ts";
import type { HostSettings } from "../host/host_settings.ts";

/** Names of the settings that this program needs, by what they hold. */
const NAMES = {
  nodeId: "node_name",
  zone: "zone",
  host: "ip",
  processorShare: "limits.cpu_share",
  processorSpeed: "limits.cores",
  callerAddress: "listen.front",
  readyAddress: "listen.ready",
  internalPorts: "internal_ports",
  storeAddress: "platform.address",
  graceSeconds: "bounds.grace_s",
  drainMs: "bounds.drain_ms",
  revokeMs: "bounds.revoke_ms",
  retryRatio: "bounds.retry_ratio",
  retryWindowSeconds: "bounds.retry_window_s",
  retrySlack: "bounds.retry_slack",
  memoryMb: "limits.memory_mb",
  coldOvershoot: "bounds.cold_overshoot",
  coldSlack: "bounds.cold_slack",
} as const;

/** Begins the names of settings that give the region of a zone. */
const ZONE_REGION_PREFIX = "zones.";

const DEFAULTS: Readonly<Record<string, string>> = {
  [NAMES.processorShare]: "1",
  [NAMES.processorSpeed]: "1",
  [NAMES.graceSeconds]: "8",
  [NAMES.drainMs]: "2000",
  [NAMES.revokeMs]: "5000",
  [NAMES.retryRatio]: "0.1",
  [NAMES.retryWindowSeconds]: "10",
  [NAMES.retrySlack]: "20",
  [NAMES.memoryMb]: "256",
  [NAMES.coldOvershoot]: "1",
  [NAMES.coldSlack]: "0",
};

/** Decodes the settings file; fails with one line for each problem. */
export function decodeSettings(text: string): Either<string, HostSettings> {
  const fields = new Map<string, string>();
  for (const line of text.split("\n")) {
    const separator = line.indexOf("=");
    if (separator > 0) {
      fields.set(line.slice(0, separator).trim(), line.slice(separator + 1));
    }
  }
  const problems: string[] = [];
  const readText = (name: string): string => {
    const value = (fields.get(name) ?? DEFAULTS[name] ?? "").trim();
    if (value === "") problems.push(`${name} is missing; add a line for it`);
    return value;
  };
  const readAmount = (name: string): number => {
    const value = readText(name);
    const amount = Number(value);
    if (value !== "" && !(amount >= 0)) {
      problems.push(`${name} is ${value}; give a number of 0 or more`);
    }
    return amount;
  };
  const readAddress = (name: string): string => {
    const value = readText(name);
    if (value !== "" && !/^[0-9.]+:[0-9]+$/.test(value)) {
      problems.push(`${name} is ${value}; give IP:PORT`);
    }
    return value;
  };
  const [firstPort = "", lastPort = firstPort] = readText(NAMES.internalPorts)
    .split(",");
  const settings: HostSettings = {
    nodeId: readText(NAMES.nodeId),
    zone: readText(NAMES.zone),
    zoneRegions: readZoneRegions(fields),
    // Called a number of cores; the share of one is that many times as fast.
    cores: readAmount(NAMES.processorShare) * readAmount(NAMES.processorSpeed),
    callerAddress: readAddress(NAMES.callerAddress),
    readyAddress: readAddress(NAMES.readyAddress),
    peerAddress: `${readText(NAMES.host)}:${firstPort}`,
    metricsAddress: `${readText(NAMES.host)}:${lastPort}`,
    storeAddress: readAddress(NAMES.storeAddress),
    graceMs: readAmount(NAMES.graceSeconds) * 1000,
    drainMs: readAmount(NAMES.drainMs),
    keyRevocationMs: readAmount(NAMES.revokeMs),
    retryShare: readAmount(NAMES.retryRatio),
    retryWindowMs: readAmount(NAMES.retryWindowSeconds) * 1000,
    retrySlackRequests: readAmount(NAMES.retrySlack),
    memoryMb: readAmount(NAMES.memoryMb),
    coldOvershoot: readAmount(NAMES.coldOvershoot),
    coldSlackRequests: readAmount(NAMES.coldSlack),
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
