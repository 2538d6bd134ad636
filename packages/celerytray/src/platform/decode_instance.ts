import { isIPv4 } from "node:net";
import type { Either } from "purify-ts";
import type {
  InstanceState,
  MembershipState,
  ReplicaMembership,
} from "../groups/index.ts";
import {
  decode,
  FieldError,
  isObject,
  type JsonObject,
  parseObject,
  readCount,
  readName,
  readNames,
  readObjects,
} from "./json_fields.ts";

const MEMBERSHIP_STATES: readonly string[] = [
  "joining",
  "ready",
  "open",
  "closing",
  "broken",
];

/** Requests that one instance could run at once; more is an odd entry. */
const MAX_SLOTS = 1_000_000;
const MAX_PORT = 65_535;

/** Decodes an entry of the instance list; the left side describes the error. */
export function decodeInstance(
  id: string,
  text: string,
): Either<string, InstanceState> {
  return parseObject(text).chain((entry) =>
    decode(() => decodeEntry(id, entry))
  );
}

function decodeEntry(id: string, entry: JsonObject): InstanceState {
  const state = readName(entry, "state");
  if (state !== "ready" && state !== "draining") {
    throw new FieldError(`state ${state} is unknown`);
  }
  const [model] = readObjects(entry, "models");
  const bornAtMs = entry.born;
  if (bornAtMs !== undefined && !Number.isSafeInteger(bornAtMs)) {
    throw new FieldError("born must be a whole number");
  }
  return {
    id,
    service: readName(entry, "service"),
    address: readAddress(entry),
    zone: readName(entry, "zone"),
    slots: readCount(entry, "slots", MAX_SLOTS),
    isDraining: state === "draining",
    stagedModels: readNames(entry, "staged"),
    ...(bornAtMs === undefined ? {} : { bornAtMs: bornAtMs as number }),
    ...decodeSequence(entry.sequence),
    ...decodeCold(entry.cold_remaining_ms),
    ...decodeDomain(entry.domain),
    ...(model === undefined ? {} : { loadedModel: readName(model, "name") }),
    ...decodeMembership(entry.group),
  };
}

function decodeSequence(input: unknown): Pick<InstanceState, "sequence"> {
  return Number.isSafeInteger(input) ? { sequence: input as number } : {};
}

function readAddress(entry: JsonObject): string {
  const address = readName(entry, "address");
  const [host = "", port = "", ...rest] = address.split(":");
  const isValid = isIPv4(host) && /^[1-9][0-9]{0,4}$/.test(port) &&
    Number(port) <= MAX_PORT && rest.length === 0;
  if (isValid) return address;
  throw new FieldError("address must be IP:PORT");
}

function decodeDomain(value: unknown): { readonly domain?: string } {
  if (value === undefined) return {};
  if (typeof value === "string" || typeof value === "number") {
    return { domain: String(value) };
  }
  throw new FieldError("domain must be a text or a number");
}

/**
 * Returns NaN for a value that is not a number, so that the caller can report
 * it; the instance then counts as one with the usual cold start.
 */
function decodeCold(value: unknown): { readonly coldRemainingMs?: number } {
  if (value === undefined || value === null) return {};
  return { coldRemainingMs: typeof value === "number" ? value : Number.NaN };
}

function decodeMembership(
  group: unknown,
): { readonly membership?: ReplicaMembership } {
  if (group === undefined || group === null) return {};
  if (!isObject(group)) throw new FieldError("group must be an object");
  if (group.name === undefined || group.name === "") return {};
  const state = readName(group, "state");
  if (!MEMBERSHIP_STATES.includes(state)) {
    throw new FieldError(`group state ${state} is unknown`);
  }
  return {
    membership: {
      replica: readName(group, "name"),
      epoch: readCount(group, "epoch"),
      rank: readCount(group, "rank"),
      state: state as MembershipState,
    },
  };
}
