import { expect } from "earl";
import { describe, it } from "node:test";
import {
  CallCauses,
  type CauseSource,
  isRequestCause,
  MAX_CAUSE_ID_CHARACTERS,
} from "./crash_causes.ts";

const CALL: CauseSource = {
  headers: {
    id: "attempt-1",
    method: "POST",
    host: "desk",
    target: "/booking?day=1",
    path: "/booking",
    key: "secret",
    promptParts: ["first", "shared", "own"],
    forwardedHeaders: [],
  },
  tenant: "tenant-1",
  body: Buffer.from("text"),
};

describe("the causes of a crash", () => {
  it("are the shared parts of a prompt and the request", () => {
    const { all } = new CallCauses(CALL);
    expect(all.slice(0, 2)).toEqual(["first", "shared"]);
    expect(all.filter(isRequestCause).length).toEqual(1);
    expect(all.every(({ length }) => length <= MAX_CAUSE_ID_CHARACTERS))
      .toEqual(true);
  });

  // Guards against a deadly request that is not recognised when it comes again,
  // as each attempt of a caller has an id and a key of its own.
  it("are the same when the request comes again", () => {
    const headers = { ...CALL.headers, id: "attempt-2", key: "other" };
    expect(identify({ ...CALL, headers })).toEqual(identify(CALL));
  });

  // Guards against a caller that has the requests of another one refused.
  it("differ by organisation, target and body", () => {
    const target = { ...CALL.headers, target: "/booking?day=2" };
    const others: readonly CauseSource[] = [
      { ...CALL, tenant: "tenant-2" },
      { ...CALL, headers: target },
      { ...CALL, body: Buffer.from("text ") },
    ];
    const ids = [CALL, ...others].map(identify);
    expect(new Set(ids).size).toEqual(ids.length);
  });

  // Guards against a caller that names a part of its prompt like a request.
  it("take no part of a prompt for a request", () => {
    const request = identify(CALL);
    const headers = { ...CALL.headers, promptParts: [request, "own"] };
    expect(new CallCauses({ ...CALL, headers }).all.includes(request))
      .toEqual(false);
  });
});

function identify(call: CauseSource): string {
  return new CallCauses(call).all.find(isRequestCause)!;
}
