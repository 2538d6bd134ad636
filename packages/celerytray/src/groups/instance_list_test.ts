import { expect } from "earl";
import { it } from "node:test";
import { Left, Right } from "purify-ts";
import { InstanceListView } from "./instance_list.ts";
import type { InstanceState } from "./instance_state.ts";

function createView() {
  const malformed: string[] = [];
  const view = new InstanceListView({
    decode: (_id, text) => {
      if (text === "damaged") return Left("It can't be read");
      return Right(JSON.parse(text) as InstanceState);
    },
    onMalformed: (id) => malformed.push(id),
  });
  const tell = (key: string, offset: number, text?: string) =>
    view.apply({
      isFullRead: false,
      records: [
        text === undefined
          ? { key, offset }
          : { key, offset, value: Buffer.from(text) },
      ],
    }, 0);
  return { view, tell, malformed };
}

const entry = (zone: string) => JSON.stringify({ id: "a", zone });

it("keeps the last good entry of an instance", () => {
  const { view, tell, malformed } = createView();
  tell("a", 1, entry("x"));
  tell("a", 2, "damaged");
  expect(view.find("a")?.zone).toEqual("x");
  expect(malformed).toEqual(["a"]);
});

it("never goes back to an older entry, nor behind a removal", () => {
  const { view, tell } = createView();
  tell("a", 5, entry("new"));
  tell("a", 3, entry("old"));
  expect(view.find("a")?.zone).toEqual("new");
  tell("a", 6);
  tell("a", 4, entry("old"));
  expect(view.find("a")).toEqual(undefined);
  expect(view.findAbsent("a")?.state.zone).toEqual("new");
  tell("a", 7, entry("back"));
  expect(view.find("a")?.zone).toEqual("back");
});

it("removes what a whole reading lacks", () => {
  const { view, tell } = createView();
  tell("a", 1, entry("x"));
  view.apply({ isFullRead: true, records: [] }, 10);
  expect(view.find("a")).toEqual(undefined);
  expect(view.findAbsent("a")?.sinceMs).toEqual(10);
});

const incarnation = (state: string, bornAtMs: number) =>
  JSON.stringify({ id: "a", isDraining: state === "draining", bornAtMs });

it("takes an instance's own status that it leaves before the list's", () => {
  const { view, tell } = createView();
  tell("a", 1, incarnation("ready", 5));
  const { revision } = view;
  expect(view.noteLeaving({ instanceId: "a", bornAtMs: 5 })).toEqual(true);
  expect(view.find("a")?.isDraining).toEqual(true);
  expect(view.revision > revision).toEqual(true);
  // A late entry, and one that lapsed and came back, still call it ready.
  tell("a", 2, incarnation("ready", 5));
  expect(view.find("a")?.isDraining).toEqual(true);
  tell("a", 3);
  tell("a", 4, incarnation("ready", 5));
  expect(view.find("a")?.isDraining).toEqual(true);
});

it("takes that status back with a newer incarnation only", () => {
  const { view, tell } = createView();
  tell("a", 1, incarnation("ready", 5));
  view.noteLeaving({ instanceId: "a", bornAtMs: 5 });
  tell("a", 2, incarnation("ready", 9));
  expect(view.find("a")?.isDraining).toEqual(false);
  // The status of the incarnation before comes late, by way of another process.
  view.noteLeaving({ instanceId: "a", bornAtMs: 5 });
  expect(view.find("a")?.isDraining).toEqual(false);
});

it("tells others of a status until the list has it", () => {
  const { view, tell } = createView();
  tell("a", 1, incarnation("ready", 5));
  view.noteLeaving({ instanceId: "a", bornAtMs: 5 });
  expect(view.noteLeaving({ instanceId: "a", bornAtMs: 5 })).toEqual(false);
  expect(view.listUnconfirmedLeaving()).toEqual([
    { instanceId: "a", bornAtMs: 5 },
  ]);
  tell("a", 2, incarnation("draining", 5));
  expect(view.listUnconfirmedLeaving()).toEqual([]);
});
