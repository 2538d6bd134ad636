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
      isWhole: false,
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
  view.apply({ isWhole: true, records: [] }, 10);
  expect(view.find("a")).toEqual(undefined);
  expect(view.findAbsent("a")?.sinceMs).toEqual(10);
});
