import { expect } from "earl";
import { Effect } from "effect";
import { request as httpRequest } from "node:http";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { callPlainService } from "./local_calls.ts";
import {
  IN_ORDER_ROUTER,
  LOCAL_API_KEY,
  type LocalDataPlane,
  type LocalDataPlaneOptions,
  startLocalDataPlane,
} from "./local_data_plane.ts";

describe("calls of plain services", () => {
  it("retries a read whose response was lost", () =>
    withDataPlane({ plainBackendCount: 2 }, async (plane) => {
      await plane.setPlainFaults(0, { losesAnswers: true });
      const response = await callPlainService(plane, { path: "/units/7" });
      expect(response.status).toEqual(200);
      expect((await plane.listRuns()).length).toEqual(2);
    }));

  it("retries a read elsewhere when an instance is silent", () =>
    withDataPlane(
      { plainBackendCount: 2, plainTimeoutMs: 400 },
      async (plane) => {
        await plane.setPlainFaults(0, { isSilent: true });
        const response = await callPlainService(plane, { path: "/units/7" });
        expect(response.status).toEqual(200);
      },
    ));

  it("rejects a response without a known length", () =>
    withDataPlane({ plainBackendCount: 1 }, async (plane) => {
      await plane.setPlainFaults(0, { omitsLength: true });
      const response = await callPlainService(plane, { path: "/units/7" });
      expect(response.status).toEqual(502);
      expect(response.headers.get("celerytray-outcome")).toEqual("ran");
    }));

  it("never retries a booking that may have run", () =>
    withDataPlane({ plainBackendCount: 2 }, async (plane) => {
      await plane.setPlainFaults(0, { losesAnswers: true });
      const response = await requestBooking(plane);
      expect(response.status).toEqual(504);
      expect(response.headers.get("celerytray-outcome")).toEqual("unknown");
      expect((await plane.listRuns()).length).toEqual(1);
    }));

  it("retries a booking elsewhere when the first instance refused it", () =>
    withDataPlane({ plainBackendCount: 2 }, async (plane) => {
      const [first, second] = plane.plainBackends;
      await first!.close();
      const response = await requestBooking(plane);
      expect(response.status).toEqual(201);
      const runs = await fetch(`http://${second!.address}/runs`);
      expect((await runs.json() as { runs: unknown[] }).runs.length).toEqual(1);
    }));

  it("sends no booking on a reused connection", () =>
    withDataPlane({ plainBackendCount: 1 }, async (plane) => {
      await callPlainService(plane, { path: "/units/7" });
      await requestBooking(plane);
      await requestBooking(plane);
      const runs = await plane.listRuns();
      const ports = new Set(runs.map((run) => run.remotePort));
      expect(ports.size).toEqual(3);
    }));

  it("records the outcome of a booking whose caller disconnected", async () => {
    const recorded: string[] = [];
    const controller = new AbortController();
    const claims = {
      claim: () => {
        setImmediate(() => controller.abort());
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
    await withDataPlane({ plainBackendCount: 1, claims }, async (plane) => {
      await plane.setPlainFaults(0, { delayMs: 50 });
      const call = requestBooking(plane, {
        headers: { "idempotency-key": "left-1" },
        signal: controller.signal,
      });
      await call.catch(() => undefined);
      await Effect.runPromise(plane.calls.waitUntilEmpty());
      expect(recorded).toEqual(["ran"]);
    });
  });

  it("rejects a duplicate Idempotency-Key header", () =>
    withDataPlane({ plainBackendCount: 1 }, async (plane) => {
      const answer = await exchangeRaw(plane, [
        "POST /services/slotbook/bookings HTTP/1.1",
        "Host: local",
        `Authorization: Bearer ${LOCAL_API_KEY}`,
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
    it(`rejects the path ${path}`, () =>
      withDataPlane({ plainBackendCount: 1 }, async (plane) => {
        const answer = await getRaw(plane, path);
        expect(answer).toInclude("400 Bad Request");
        expect(answer).toInclude("celerytray-outcome: not-run");
        expect(await plane.listRuns()).toEqual([]);
      }));
  }

  it("rejects more than 100 headers", () =>
    withDataPlane({ plainBackendCount: 1 }, async (plane) => {
      const answer = await getRaw(plane, "/services/slotbook/units", {
        headerCount: 101,
      });
      expect(answer).toInclude("431 Request Header Fields Too Large");
      expect(answer).toInclude("celerytray-outcome: not-run");
    }));

  it("refuses calls and closes their connections while it shuts down", () =>
    withDataPlane({ plainBackendCount: 1 }, async (plane) => {
      plane.setNotReadyReason("it shuts down");
      const response = await requestBooking(plane);
      expect(response.status).toEqual(503);
      expect(response.headers.get("celerytray-outcome")).toEqual("not-run");
      expect(response.headers.get("connection")).toEqual("close");
      expect(await plane.listRuns()).toEqual([]);
    }));

  it("accepts an absolute-form target and forwards the query", () =>
    withDataPlane({ plainBackendCount: 1 }, async (plane) => {
      const answer = await getRaw(
        plane,
        "http://local/services/slotbook/units?zone=kth-a&zone=kth-b",
      );
      expect(answer).toInclude('"query":"zone=kth-a&zone=kth-b"');
    }));

  it("responds to HEAD with the headers and no body", () =>
    withDataPlane({ plainBackendCount: 1 }, async (plane) => {
      const response = await callPlainService(plane, {
        path: "/units",
        method: "HEAD",
      });
      expect(response.status).toEqual(200);
      expect(Number(response.headers.get("content-length")) > 0).toEqual(true);
      expect(await response.text()).toEqual("");
    }));

  it("sends 100 Continue only if it accepts the body", () =>
    withDataPlane({ plainBackendCount: 1, maxBodyBytes: 10 }, async (plane) => {
      expect(await postWithContinue(plane, "12345")).toEqual([100, 201]);
      expect(await postWithContinue(plane, "x".repeat(99))).toEqual([413]);
    }));

  it("forwards no credentials", () =>
    withDataPlane({ plainBackendCount: 1 }, async (plane) => {
      await callPlainService(plane, {
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

async function withDataPlane(
  options: LocalDataPlaneOptions,
  use: (plane: LocalDataPlane) => Promise<void>,
): Promise<void> {
  const plane = await startLocalDataPlane({
    router: IN_ORDER_ROUTER,
    ...options,
  });
  try {
    await use(plane);
  } finally {
    await plane.close();
  }
}

function requestBooking(
  plane: LocalDataPlane,
  options: {
    readonly headers?: Readonly<Record<string, string>>;
    readonly signal?: AbortSignal;
  } = {},
): Promise<Response> {
  return callPlainService(plane, {
    path: "/bookings",
    method: "POST",
    body: '{"slot":"08:00"}',
    ...options,
  });
}

function getRaw(
  plane: LocalDataPlane,
  target: string,
  options: { readonly headerCount?: number } = {},
): Promise<string> {
  const { headerCount = 0 } = options;
  return exchangeRaw(plane, [
    `GET ${target} HTTP/1.1`,
    "Host: local",
    `Authorization: Bearer ${LOCAL_API_KEY}`,
    ...Array.from({ length: headerCount }, (_, index) => `x-${index}: 1`),
  ]);
}

/** Sends the request lines unchanged and reads until the connection ends. */
function exchangeRaw(
  plane: LocalDataPlane,
  lines: readonly string[],
): Promise<string> {
  const { port, hostname } = new URL(plane.url);
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), hostname);
    let text = "";
    socket.setEncoding("utf8");
    socket.on("data", (chunk: string) => text += chunk);
    socket.on("end", () => resolve(text));
    socket.on("error", reject);
    socket.write([...lines, "Connection: close", "", ""].join("\r\n"));
  });
}

/** Posts with `Expect: 100-continue` and returns the statuses received. */
function postWithContinue(
  plane: LocalDataPlane,
  body: string,
): Promise<number[]> {
  return new Promise((resolve, reject) => {
    const statuses: number[] = [];
    const request = httpRequest(`${plane.url}/services/slotbook/bookings`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${LOCAL_API_KEY}`,
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
