import { expect } from "earl";
import { it } from "node:test";
import { Left, Right } from "purify-ts";
import { InstanceListView } from "./instance_list.ts";
import type { InstanceState } from "./instance_state.ts";

function createView() {
  const malformed: string[] = [];
  const view = new InstanceListView({
    decode: (_id, text) => {
      if (text === "damaged") return Left("The entry is malformed");
      return Right(JSON.parse(text) as InstanceState);
    },
    onMalformed: (id) => malformed.push(id),
  });
  const update = (key: string, offset: number, text?: string) =>
    view.apply({
      isFullRead: false,
      nextOffset: offset + 1,
      records: [
        text === undefined
          ? { key, offset }
          : { key, offset, value: Buffer.from(text) },
      ],
    }, 0);
  return { view, update, malformed };
}

const entry = (zone: string) => JSON.stringify({ id: "a", zone });

it("keeps the last valid entry when a malformed one follows", () => {
  const { view, update, malformed } = createView();
  update("a", 1, entry("x"));
  update("a", 2, "damaged");
  expect(view.find("a")?.zone).toEqual("x");
  expect(malformed).toEqual(["a"]);
});

it("ignores entries older than the latest entry or removal", () => {
  const { view, update } = createView();
  update("a", 5, entry("new"));
  update("a", 3, entry("old"));
  expect(view.find("a")?.zone).toEqual("new");
  update("a", 6);
  update("a", 4, entry("old"));
  expect(view.find("a")).toEqual(undefined);
  expect(view.findRemoved("a")?.state.zone).toEqual("new");
  update("a", 7, entry("back"));
  expect(view.find("a")?.zone).toEqual("back");
});

it("removes instances that a full read lacks", () => {
  const { view, update } = createView();
  update("a", 1, entry("x"));
  view.apply({ isFullRead: true, records: [], nextOffset: 2 }, 10);
  expect(view.find("a")).toEqual(undefined);
  expect(view.findRemoved("a")?.sinceMs).toEqual(10);
});

const incarnation = (state: string, bornAtMs: number) =>
  JSON.stringify({ id: "a", isDraining: state === "draining", bornAtMs });

it("prefers an instance's own report that it leaves over the list", () => {
  const { view, update } = createView();
  update("a", 1, incarnation("ready", 5));
  const { revision } = view;
  expect(view.noteLeaving({ instanceId: "a", bornAtMs: 5 })).toEqual(true);
  expect(view.find("a")?.isDraining).toEqual(true);
  expect(view.revision > revision).toEqual(true);
  // A late entry, and an entry added again after a removal, still say ready.
  update("a", 2, incarnation("ready", 5));
  expect(view.find("a")?.isDraining).toEqual(true);
  update("a", 3);
  update("a", 4, incarnation("ready", 5));
  expect(view.find("a")?.isDraining).toEqual(true);
});

it("clears the leaving status only for a newer incarnation", () => {
  const { view, update } = createView();
  update("a", 1, incarnation("ready", 5));
  view.noteLeaving({ instanceId: "a", bornAtMs: 5 });
  update("a", 2, incarnation("ready", 9));
  expect(view.find("a")?.isDraining).toEqual(false);
  // The previous incarnation's status arrives late, through another process.
  view.noteLeaving({ instanceId: "a", bornAtMs: 5 });
  expect(view.find("a")?.isDraining).toEqual(false);
});

it("lists a leaving instance until the list shows it as draining", () => {
  const { view, update } = createView();
  update("a", 1, incarnation("ready", 5));
  view.noteLeaving({ instanceId: "a", bornAtMs: 5 });
  expect(view.noteLeaving({ instanceId: "a", bornAtMs: 5 })).toEqual(false);
  expect(view.listUnconfirmedLeaving()).toEqual([
    { instanceId: "a", bornAtMs: 5 },
  ]);
  update("a", 2, incarnation("draining", 5));
  expect(view.listUnconfirmedLeaving()).toEqual([]);
});
