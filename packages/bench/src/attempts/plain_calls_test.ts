import { expect } from "earl";
import { Effect } from "effect";
import { request as httpRequest } from "node:http";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { callPlain } from "./local_calls.ts";
import {
  IN_ORDER,
  LOCAL_KEY,
  type LocalDataPlane,
  type LocalDataPlaneOptions,
  startLocalDataPlane,
} from "./local_data_plane.ts";

describe("calls of plain services", () => {
  it("reads again where an answer was lost", () =>
    withPlane({ plainCount: 2 }, async (plane) => {
      await plane.setPlainFaults(0, { losesAnswers: true });
      const response = await callPlain(plane, { path: "/units/7" });
      expect(response.status).toEqual(200);
      expect((await plane.listRuns()).length).toEqual(2);
    }));

  it("reads elsewhere beside a silent instance", () =>
    withPlane({ plainCount: 2, plainTimeoutMs: 400 }, async (plane) => {
      await plane.setPlainFaults(0, { isSilent: true });
      const response = await callPlain(plane, { path: "/units/7" });
      expect(response.status).toEqual(200);
    }));

  it("refuses an answer without a known end", () =>
    withPlane({ plainCount: 1 }, async (plane) => {
      await plane.setPlainFaults(0, { omitsLength: true });
      const response = await callPlain(plane, { path: "/units/7" });
      expect(response.status).toEqual(502);
      expect(response.headers.get("celerytray-outcome")).toEqual("ran");
    }));

  it("never repeats a booking that may have run", () =>
    withPlane({ plainCount: 2 }, async (plane) => {
      await plane.setPlainFaults(0, { losesAnswers: true });
      const response = await book(plane);
      expect(response.status).toEqual(504);
      expect(response.headers.get("celerytray-outcome")).toEqual("unknown");
      expect((await plane.listRuns()).length).toEqual(1);
    }));

  it("books elsewhere when the first instance refused", () =>
    withPlane({ plainCount: 2 }, async (plane) => {
      const [first, second] = plane.plains;
      await first!.close();
      const response = await book(plane);
      expect(response.status).toEqual(201);
      const runs = await fetch(`http://${second!.address}/runs`);
      expect((await runs.json() as { runs: unknown[] }).runs.length).toEqual(1);
    }));

  it("sends no booking on a reused connection", () =>
    withPlane({ plainCount: 1 }, async (plane) => {
      await callPlain(plane, { path: "/units/7" });
      await book(plane);
      await book(plane);
      const runs = await plane.listRuns();
      const ports = new Set(runs.map((run) => run.remotePort));
      expect(ports.size).toEqual(3);
    }));

  it("records the outcome of a booking whose caller left", async () => {
    const recorded: string[] = [];
    const left = new AbortController();
    const claims = {
      claim: () => {
        setImmediate(() => left.abort());
        return Effect.succeed({
          kind: "granted" as const,
          claimRecordId: "claim",
          fencingNumber: 0,
          mayDispatch: () => true,
        });
      },
      recordOutcome: (_claim: unknown, { state }: { state: string }) =>
        Effect.sync(() => {
          recorded.push(state);
        }),
    };
    await withPlane({ plainCount: 1, claims }, async (plane) => {
      await plane.setPlainFaults(0, { delayMs: 50 });
      const call = book(plane, {
        headers: { "idempotency-key": "left-1" },
        signal: left.signal,
      });
      await call.catch(() => undefined);
      await Effect.runPromise(plane.calls.waitUntilEmpty());
      expect(recorded).toEqual(["ran"]);
    });
  });

  it("refuses a repeated Idempotency-Key header", () =>
    withPlane({ plainCount: 1 }, async (plane) => {
      const answer = await exchangeRaw(plane, [
        "POST /services/slotbook/bookings HTTP/1.1",
        "Host: local",
        `Authorization: Bearer ${LOCAL_KEY}`,
        "Idempotency-Key: one",
        "Idempotency-Key: two",
        "Content-Length: 0",
      ]);
      expect(answer).toInclude("400 Bad Request");
      expect(await plane.listRuns()).toEqual([]);
    }));

  const AMBIGUOUS_PATHS = [
    "/services/slotbook/../drafter",
    "/services/slotbook/%2e%2e/drafter",
    "/services/slotbook//bookings",
    "/services/slotbook/a%2fb",
    "/services/slotbook/a\\b",
    "/services//bookings",
  ];
  for (const path of AMBIGUOUS_PATHS) {
    it(`refuses the path ${path}`, () =>
      withPlane({ plainCount: 1 }, async (plane) => {
        const answer = await get(plane, path);
        expect(answer).toInclude("400 Bad Request");
        expect(answer).toInclude("celerytray-outcome: not-run");
        expect(await plane.listRuns()).toEqual([]);
      }));
  }

  it("refuses more than 100 headers", () =>
    withPlane({ plainCount: 1 }, async (plane) => {
      const answer = await get(plane, "/services/slotbook/units", {
        headerCount: 101,
      });
      expect(answer).toInclude("431 Request Header Fields Too Large");
      expect(answer).toInclude("celerytray-outcome: not-run");
    }));

  it("tells callers to leave while it shuts down", () =>
    withPlane({ plainCount: 1 }, async (plane) => {
      plane.setNotReady("it shuts down");
      const response = await book(plane);
      expect(response.status).toEqual(503);
      expect(response.headers.get("celerytray-outcome")).toEqual("not-run");
      expect(response.headers.get("connection")).toEqual("close");
      expect(await plane.listRuns()).toEqual([]);
    }));

  it("takes the absolute form and passes the query on", () =>
    withPlane({ plainCount: 1 }, async (plane) => {
      const answer = await get(
        plane,
        "http://local/services/slotbook/units?zone=kth-a&zone=kth-b",
      );
      expect(answer).toInclude('"query":"zone=kth-a&zone=kth-b"');
    }));

  it("answers HEAD with the headers and no body", () =>
    withPlane({ plainCount: 1 }, async (plane) => {
      const response = await callPlain(plane, {
        path: "/units",
        method: "HEAD",
      });
      expect(response.status).toEqual(200);
      expect(Number(response.headers.get("content-length")) > 0).toEqual(true);
      expect(await response.text()).toEqual("");
    }));

  it("asks for the body only when it is wanted", () =>
    withPlane({ plainCount: 1, maxBodyBytes: 10 }, async (plane) => {
      expect(await postExpecting(plane, "12345")).toEqual([100, 201]);
      expect(await postExpecting(plane, "x".repeat(99))).toEqual([413]);
    }));

  it("passes no credentials on", () =>
    withPlane({ plainCount: 1 }, async (plane) => {
      await callPlain(plane, {
        path: "/units",
        headers: { cookie: "a=b", "x-dealer": "cascadia" },
      });
      const [run] = await plane.listRuns();
      const names = Object.keys(run!.headers);
      expect(names.includes("authorization")).toEqual(false);
      expect(names.includes("cookie")).toEqual(false);
      expect(run!.headers["x-dealer"]).toEqual("cascadia");
    }));
});

async function withPlane(
  options: LocalDataPlaneOptions,
  use: (plane: LocalDataPlane) => Promise<void>,
): Promise<void> {
  const plane = await startLocalDataPlane({ router: IN_ORDER, ...options });
  try {
    await use(plane);
  } finally {
    await plane.close();
  }
}

function book(
  plane: LocalDataPlane,
  options: {
    readonly headers?: Readonly<Record<string, string>>;
    readonly signal?: AbortSignal;
  } = {},
): Promise<Response> {
  return callPlain(plane, {
    path: "/bookings",
    method: "POST",
    body: '{"slot":"08:00"}',
    ...options,
  });
}

function get(
  plane: LocalDataPlane,
  target: string,
  options: { readonly headerCount?: number } = {},
): Promise<string> {
  const { headerCount = 0 } = options;
  return exchangeRaw(plane, [
    `GET ${target} HTTP/1.1`,
    "Host: local",
    `Authorization: Bearer ${LOCAL_KEY}`,
    ...Array.from({ length: headerCount }, (_, index) => `x-${index}: 1`),
  ]);
}

/** Sends a request head as it is and reads until the end. */
function exchangeRaw(
  plane: LocalDataPlane,
  lines: readonly string[],
): Promise<string> {
  const { port, hostname } = new URL(plane.url);
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), hostname);
    let text = "";
    socket.setEncoding("utf8");
    socket.on("data", (part: string) => text += part);
    socket.on("end", () => resolve(text));
    socket.on("error", reject);
    socket.write([...lines, "Connection: close", "", ""].join("\r\n"));
  });
}

/** Posts with `Expect: 100-continue` and returns the statuses answered. */
function postExpecting(
  plane: LocalDataPlane,
  body: string,
): Promise<number[]> {
  return new Promise((resolve, reject) => {
    const statuses: number[] = [];
    const request = httpRequest(`${plane.url}/services/slotbook/bookings`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${LOCAL_KEY}`,
        expect: "100-continue",
        "content-length": body.length,
      },
    });
    request.on("continue", () => {
      statuses.push(100);
      request.end(body);
    });
    request.on("response", (response) => {
      statuses.push(response.statusCode ?? 0);
      resolve(statuses);
      request.destroy();
    });
    request.on("error", reject);
    request.flushHeaders();
  });
}
