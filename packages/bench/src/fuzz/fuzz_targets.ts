import {
  validateChatCompletionRequest,
  validateLogRecord,
} from "@celerytray/schema";
import {
  adoptConfigUpdate,
  checkConfig,
  ClaimTable,
  type ConfigUpdate,
  emptyConfigState,
  emptyFleetState,
  foldConfigRecord,
  foldFleetRecord,
  type LogEntry,
  mergeConfigFiles,
  parseConfigFile,
  parseExchangeMessage,
} from "celerytray";
import fc from "fast-check";
import { createSampleConfig } from "../config/sample_config.ts";

/** A parser or validator of external input, and the inputs to feed it. */
export interface FuzzTarget {
  readonly name: string;
  readonly cases: fc.Arbitrary<unknown>;
  /** Whether an input is valid. Anything that it throws counts as a crash. */
  readonly accepts: (value: unknown) => boolean;
}

const CLAIM_POLICY = { windowMs: 3_600_000, maxClockErrorMs: 1_000 };
const CONFIG = createSampleConfig();
const YAML_FRAGMENTS = [
  "services:",
  "  a: { kind: plain }",
  "&x [*x]",
  "? {}",
  "<<: *x",
  "- ",
  "\t",
  "!!binary zz",
  "__proto__: { polluted: 1 }",
  "a: 1\na: 2",
  "null",
  "{",
  "]",
  "\u0000",
];

const LOG_RECORDS: readonly Readonly<Record<string, unknown>>[] = [
  {
    kind: "config",
    recordId: "r",
    refinesVersion: 0,
    patch: CONFIG,
    author: "a",
    publishedAtMs: 1,
  },
  {
    kind: "form",
    recordId: "r",
    service: "s",
    slot: 0,
    members: ["a", "b"],
    proposer: "p",
  },
  {
    kind: "dissolve",
    recordId: "r",
    service: "s",
    slot: 0,
    fencingNumber: 0,
    reason: "x",
    proposer: "p",
  },
  {
    kind: "claim",
    recordId: "r",
    organisation: "o",
    service: "s",
    key: "k",
    requestSha256: "0",
    claimant: "c",
  },
  {
    kind: "outcome",
    recordId: "r",
    claimRecordId: "r",
    outcome: { state: "ran" },
  },
];

const EXCHANGE = {
  sender: {
    instanceId: "entry-0",
    adminAddress: "127.0.0.1:1",
    incarnation: 1,
    state: "alive",
  },
  updates: [],
  configVersion: 1,
  configNextOffset: 1,
  demand: [["a", 1]],
  leaving: [],
};

const REQUEST = {
  model: "drafter",
  messages: [{ role: "user", content: "x" }],
  stream: true,
  max_tokens: 5,
};

const SNAPSHOT = {
  kind: "config-snapshot",
  recordId: "r",
  nextOffset: 5,
  version: 3,
  offset: 4,
  author: "a",
  acceptedAtMs: 1,
  config: CONFIG,
  recentVersions: [],
};

/** Generates a valid value with some fields removed, replaced or added. */
function mutate(
  base: Readonly<Record<string, unknown>>,
): fc.Arbitrary<Record<string, unknown>> {
  const names = fc.constantFrom(...Object.keys(base), "__proto__", "surplus");
  const edits = fc.array(fc.tuple(names, fc.jsonValue({ maxDepth: 3 })), {
    maxLength: 3,
  });
  const removed = fc.array(names, { maxLength: 1 });
  return fc.tuple(edits, removed).map(([editedFields, removedNames]) => {
    const fields = new Map([...Object.entries(base), ...editedFields]);
    for (const name of removedNames) fields.delete(name);
    return Object.fromEntries(fields);
  });
}

/** All parsers and validators of external input. */
export const FUZZ_TARGETS: readonly FuzzTarget[] = [
  {
    name: "configuration file",
    cases: fc.oneof(
      fc.string({ unit: "binary", maxLength: 200 }),
      fc.array(fc.constantFrom(...YAML_FRAGMENTS), { maxLength: 8 })
        .map((fragments) => fragments.join("\n")),
      mutate(CONFIG as unknown as Record<string, unknown>)
        .map((config) => JSON.stringify(config)),
    ),
    accepts: (text) =>
      parseConfigFile("10.yaml", text as string).map((file) =>
        checkConfig(mergeConfigFiles([file])).isRight()
      ).orDefault(false),
  },
  {
    name: "log record",
    cases: fc.oneof(
      fc.jsonValue(),
      ...LOG_RECORDS.map(mutate),
      mutate(SNAPSHOT),
    ),
    accepts: (record) => {
      if (!validateLogRecord(record)) return false;
      const entry = { offset: 0, appendedAtMs: 0, record } as LogEntry;
      foldConfigRecord(emptyConfigState(), entry);
      foldFleetRecord(emptyFleetState(), entry);
      new ClaimTable(CLAIM_POLICY).apply(entry);
      return true;
    },
  },
  {
    name: "exchange between entry instances",
    cases: fc.oneof(fc.jsonValue(), mutate(EXCHANGE)),
    accepts: (message) => parseExchangeMessage(message) !== undefined,
  },
  {
    name: "configuration handed over",
    cases: fc.oneof(
      fc.record({ nextOffset: fc.nat(), snapshot: mutate(SNAPSHOT) }),
      fc.record({
        nextOffset: fc.nat(),
        entries: fc.array(
          fc.oneof(
            fc.jsonValue({ maxDepth: 2 }),
            mutate({ offset: 0, appendedAtMs: 0, record: LOG_RECORDS[0] }),
          ),
          { maxLength: 3 },
        ),
      }),
    ),
    accepts: (update) =>
      adoptConfigUpdate(
        { state: emptyConfigState(), nextOffset: 0 },
        update as ConfigUpdate,
      ).isRight(),
  },
  {
    name: "completion request",
    cases: fc.oneof(fc.jsonValue(), mutate(REQUEST)),
    accepts: (body) => validateChatCompletionRequest(body),
  },
];
