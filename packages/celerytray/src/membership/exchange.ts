import type { ConfigUpdate } from "../config/index.ts";
import type { HybridTimestamp } from "../timeline/index.ts";
import type { MemberUpdate } from "./member_update.ts";
import type { DemandReport } from "./peer_demand.ts";

/** Message that an entry instance sends in each exchange. */
export interface ExchangeMessage {
  readonly sender: MemberUpdate;
  /** States of other members that the receiver may not know yet. */
  readonly updates: readonly MemberUpdate[];
  readonly configVersion: number;
  /** Offset of the first configuration record that the sender has not applied. */
  readonly configNextOffset: number;
  /** The sender could not load its configuration from the log. */
  readonly lacksConfig?: boolean;
  readonly demand: DemandReport;
  /** Back ends that are leaving. */
  readonly leaving: readonly LeavingReport[];
  /** Time since the sender last read the log; absent if it never did. */
  readonly logAgeMs?: number;
  /** The sender's hybrid logical clock. */
  readonly clock?: HybridTimestamp;
}

/** A leaving back end, and the time since that was reported. */
export type LeavingReport = readonly [instanceId: string, ageMs: number];

/** The answer to an exchange. */
export interface ExchangeAnswer extends ExchangeMessage {
  /** Configuration that the sender of the request lacks. */
  readonly configUpdate?: ConfigUpdate | undefined;
}

const MAX_UPDATES = 64;
const MAX_REPORTED = 256;

/** Validates a message from another process; undefined if it is malformed. */
export function parseExchangeMessage(
  input: unknown,
): ExchangeMessage | undefined {
  const message = input as Partial<ExchangeMessage> | null;
  if (typeof message !== "object" || message === null) return undefined;
  const { sender, updates, demand, leaving } = message;
  const isValid = isMemberUpdate(sender) &&
    isListOf(updates, { maxCount: MAX_UPDATES, isItem: isMemberUpdate }) &&
    isListOf(demand, { maxCount: MAX_REPORTED, isItem: isNameNumberPair }) &&
    isListOf(leaving, { maxCount: MAX_REPORTED, isItem: isNameNumberPair }) &&
    isCount(message.configVersion) && isCount(message.configNextOffset) &&
    (message.logAgeMs === undefined || isCount(message.logAgeMs)) &&
    (message.clock === undefined || isClock(message.clock));
  return isValid ? message as ExchangeMessage : undefined;
}

const MEMBER_STATES: readonly unknown[] = ["alive", "suspect", "gone", "left"];
const ID_PATTERN = /^[a-z0-9][a-z0-9.-]{0,62}$/;
const ADDRESS_PATTERN = /^[0-9.]+:[0-9]+$/;

function isMemberUpdate(value: unknown): value is MemberUpdate {
  const update = value as Partial<MemberUpdate> | null | undefined;
  return typeof update === "object" && update !== null &&
    ID_PATTERN.test(String(update.instanceId)) &&
    ADDRESS_PATTERN.test(String(update.adminAddress)) &&
    isCount(update.incarnation) && MEMBER_STATES.includes(update.state);
}

interface ListRule {
  readonly maxCount: number;
  readonly isItem: (value: unknown) => boolean;
}

function isListOf(value: unknown, { maxCount, isItem }: ListRule): boolean {
  return Array.isArray(value) && value.length <= maxCount &&
    value.every(isItem);
}

function isNameNumberPair(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 &&
    typeof value[0] === "string" && Number.isFinite(value[1]) &&
    (value[1] as number) >= 0;
}

function isClock(value: unknown): boolean {
  const stamp = value as Partial<HybridTimestamp> | null;
  return typeof stamp === "object" && isCount(stamp?.physicalMs) &&
    isCount(stamp?.counter);
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
