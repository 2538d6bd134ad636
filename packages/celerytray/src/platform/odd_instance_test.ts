import { expect } from "earl";
import { describe, it } from "node:test";
import { InstanceListView } from "../groups/index.ts";
import { decodeInstance } from "./decode_instance.ts";

const ENTRY = {
  service: "drafter",
  address: "10.0.0.1:8000",
  zone: "a",
  slots: 4,
  state: "ready",
  sequence: 1,
};
const NESTING = 100_000;
const nested = `${"[".repeat(NESTING)}${"]".repeat(NESTING)}`;
const longName = "n".repeat(1024 * 1024);
/** Longest text that an odd entry may leave in the log. */
const MAX_MESSAGE_CHARACTERS = 300;

const ODD_ENTRIES: Readonly<Record<string, string>> = {
  "a domain nested deeply": create({ domain: "D" }).replace('"D"', nested),
  "a group nested deeply": create({ group: "G" }).replace('"G"', nested),
  "an entry nested deeply": nested,
  "a domain without a text": create({ domain: { toString: 1 } }),
  "a port of 0": create({ address: "10.0.0.1:0" }),
  "a port of 65,536": create({ address: "10.0.0.1:65536" }),
  "a port of -1": create({ address: "10.0.0.1:-1" }),
  "a port of 1.5": create({ address: "10.0.0.1:1.5" }),
  "a port of many digits": create({ address: `10.0.0.1:${"9".repeat(400)}` }),
  "an address that is none": create({ address: "999.0.0.1:80" }),
  "a number too large for slots": create({ slots: 0 }).replace(
    '"slots":0',
    '"slots":1e999',
  ),
  "slots beyond any instance": create({ slots: 1e300 }),
  "negative slots": create({ slots: -1 }),
  "an epoch beyond any offset": create({
    group: { name: "g", epoch: 1e300, rank: 0, state: "open" },
  }),
  "a start beyond any time": create({ born: 1e300 }),
  "a service with a name of a megabyte": create({ service: longName }),
  "a state of a megabyte": create({ state: longName }),
  "a staged model with a name of a megabyte": create({ staged: [longName] }),
};

// Guards against one odd entry of another writer that ends a process or stops
// it from following the list of instances.
describe("an odd entry among the instances", () => {
  for (const [title, text] of Object.entries(ODD_ENTRIES)) {
    it(`is left out, and the others hold: ${title}`, () => {
      const messages: string[] = [];
      const view = new InstanceListView({
        decode: decodeInstance,
        onMalformed: (id, message) => messages.push(`${id}: ${message}`),
      });
      const values = [create({}), text, create({ zone: "b" })];
      const records = values.map((value, offset) => ({
        key: `i${offset}`,
        value: Buffer.from(value),
        offset,
      }));
      const nextOffset = records.length;
      view.apply({ isFullRead: true, records, nextOffset }, 0);
      expect(view.list().map(({ id }) => id)).toEqual(["i0", "i2"]);
      expect(messages.length).toEqual(1);
      expect(messages[0]!.length <= MAX_MESSAGE_CHARACTERS).toEqual(true);
    });
  }
});

function create(fields: object): string {
  return JSON.stringify({ ...ENTRY, ...fields });
}
