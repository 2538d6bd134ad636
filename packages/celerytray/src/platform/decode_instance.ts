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
  readNumber,
  readObjects,
  readString,
  readStrings,
} from "./json_fields.ts";

const MEMBERSHIP_STATES: readonly string[] = [
  "joining",
  "ready",
  "open",
  "closing",
  "broken",
];

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
  const state = readString(entry, "state");
  if (state !== "ready" && state !== "draining") {
    throw new FieldError(`state ${state} is unknown`);
  }
  const address = readString(entry, "address");
  if (!/^[0-9.]+:[0-9]+$/.test(address)) {
    throw new FieldError("address must be IP:PORT");
  }
  const [model] = readObjects(entry, "models");
  const bornAtMs = entry.born;
  if (bornAtMs !== undefined && !Number.isSafeInteger(bornAtMs)) {
    throw new FieldError("born must be a whole number");
  }
  return {
    id,
    service: readString(entry, "service"),
    address,
    zone: readString(entry, "zone"),
    slots: readNumber(entry, "slots"),
    isDraining: state === "draining",
    stagedModels: readStrings(entry, "staged"),
    ...(bornAtMs === undefined ? {} : { bornAtMs: bornAtMs as number }),
    ...decodeCold(entry.cold_remaining_ms),
    ...(entry.domain === undefined ? {} : { domain: String(entry.domain) }),
    ...(model === undefined ? {} : { loadedModel: readString(model, "name") }),
    ...decodeMembership(entry.group),
  };
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
  const state = readString(group, "state");
  if (!MEMBERSHIP_STATES.includes(state)) {
    throw new FieldError(`group state ${state} is unknown`);
  }
  return {
    membership: {
      replica: readString(group, "name"),
      epoch: readNumber(group, "epoch"),
      rank: readNumber(group, "rank"),
      state: state as MembershipState,
    },
  };
}
