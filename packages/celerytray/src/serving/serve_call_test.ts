import { expect } from "earl";
import { Agent, type IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { describe, it } from "node:test";
import type { ServingTarget } from "./choose_target.ts";
import { createRawResponse } from "./exchange/raw_response.ts";
import { LoadTracker } from "./load_tracker.ts";
import { PaceTracker } from "./pace_tracker.ts";
import { StallDetector } from "./stall_detector.ts";
import {
  call,
  idOf,
  readNowMs,
  respondDone,
  startBackend,
  startEntry,
  startRawBackend,
} from "./test_entry.ts";

describe("serveCall", () => {
  it("responds with 503 without a configuration, and with 404 or 401 with one", async () => {
    const unknown = await startEntry({ backends: [], isConfigured: false });
    expect((await call(unknown, "/safe/x")).status).toEqual(503);
    const known = await startEntry({ backends: [] });
    expect((await call(known, "/none/x")).status).toEqual(404);
    expect((await call(known, "/safe/x", { "x-api-key": "other" })).status)
      .toEqual(401);
  });

  it("refuses as not run while keys may be outdated", async () => {
    const entry = await startEntry({ backends: [], areKeysFresh: false });
    const response = await call(entry, "/safe/x");
    expect(response.status).toEqual(503);
    // Another machine may know the newest keys, so the caller may go there now.
    expect(Number(response.headers["retry-after"]) <= 0.1).toEqual(true);
    expect(response.headers.connection).toEqual("close");
  });

  // Guards against a caller that is told for good that a route or key is
  // unknown by a process that had not heard of its addition yet.
  it("does not refuse for good what a newer configuration may allow", async () => {
    const backend = await startBackend(respondDone);
    const entry = await startEntry({
      backends: [backend],
      isConfigCurrent: false,
    });
    const unknownRoute = await call(entry, "/none/x");
    expect(unknownRoute.status).toEqual(503);
    expect(Number(unknownRoute.headers["retry-after"]) <= 0.1).toEqual(true);
    expect((await call(entry, "/safe/x", { "x-api-key": "other" })).status)
      .toEqual(503);
    expect((await call(entry, "/safe/x")).status).toEqual(200);
  });

  it("forwards the tenant but never the key", async () => {
    const seen: IncomingMessage[] = [];
    const backend = await startBackend((incoming, response) => {
      seen.push(incoming);
      respondDone(incoming, response);
    });
    const entry = await startEntry({ backends: [backend] });
    const response = await call(entry, "/safe/x", { tenant: "forged" });
    expect([response.status, response.body]).toEqual([200, "done"]);
    expect(seen[0]!.headers.tenant).toEqual("tenant-1");
    expect(seen[0]!.headers["x-api-key"]).toEqual(undefined);
    expect(Number(seen[0]!.headers["deadline-ms"]) <= 2_000).toEqual(true);
  });

  it("retries a failed safe request on another instance", async () => {
    let calls = 0;
    const backend = (fails: boolean) =>
      startBackend((incoming, response) => {
        calls += 1;
        if (fails) incoming.socket.destroy();
        else respondDone(incoming, response);
      });
    const entry = await startEntry({
      backends: [await backend(true), await backend(false)],
    });
    for (let index = 0; index < 6; index++) {
      expect((await call(entry, "/safe/x")).status).toEqual(200);
    }
    expect(calls > 6).toEqual(true);
  });

  it("never retries a request with the policy `once` that may have run", async () => {
    const ids: string[] = [];
    const backend = () =>
      startBackend((incoming) => {
        ids.push(String(incoming.headers["attempt-id"]));
        incoming.socket.destroy();
      });
    const entry = await startEntry({
      backends: [await backend(), await backend()],
    });
    const response = await call(entry, "/once/x");
    expect(response.status).toEqual(502);
    expect(ids.length).toEqual(1);
  });

  it("responds with a status for not run only if the request did not run", async () => {
    const rejecting = await startBackend((incoming, response) => {
      response.writeHead(503, {
        "attempt-id": idOf(incoming),
        "not-executed": "1",
      }).end();
    });
    const entry = await startEntry({ backends: [rejecting] });
    expect((await call(entry, "/once/x")).status).toEqual(503);
    const nameless = await startBackend((_incoming, response) => {
      response.writeHead(503, { "not-executed": "1" }).end();
    });
    const unsure = await startEntry({ backends: [nameless] });
    expect((await call(unsure, "/once/x")).status).toEqual(502);
    const unmarked503 = await startBackend((incoming, response) => {
      response.writeHead(503, { "attempt-id": idOf(incoming) }).end();
    });
    const other = await startEntry({ backends: [unmarked503] });
    expect((await call(other, "/once/x")).status).toEqual(502);
  });

  it("retries on a new connection if the reused one was closed", async () => {
    let connections = 0;
    const backend = await startRawBackend((socket) => {
      connections += 1;
      let requests = 0;
      socket.on("data", (bytes) => {
        requests += 1;
        // The first connection is reset when it is reused.
        if (requests > 1) socket.resetAndDestroy();
        else socket.write(createRawResponse(bytes));
      });
    });
    const entry = await startEntry({ backends: [backend] });
    expect((await call(entry, "/safe/x")).status).toEqual(200);
    expect((await call(entry, "/safe/x")).status).toEqual(200);
    expect(connections).toEqual(2);
  });

  it("forwards no response that belongs to another request", async () => {
    const backend = await startBackend((_incoming, response) => {
      response.writeHead(200, { "attempt-id": "other", "server-stamp": "s" })
        .end("wrong");
    });
    const entry = await startEntry({ backends: [backend] });
    const response = await call(entry, "/safe/x");
    expect(response.status).toEqual(502);
    expect(response.body.includes("wrong")).toEqual(false);
  });

  it("resumes a stream that was truncated inside an event", async () => {
    const resumedAfter: unknown[] = [];
    const backend = () =>
      startBackend((incoming, response) => {
        const after = incoming.headers["last-event-id"];
        resumedAfter.push(after);
        response.writeHead(200, {
          "attempt-id": idOf(incoming),
          "server-stamp": "s",
          "content-type": "text/event-stream",
        });
        if (after === undefined) {
          response.write("id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\nda");
          setTimeout(() => incoming.socket.destroy(), 10);
        } else {
          response.end("id: 2\ndata: c\n\n");
        }
      });
    const entry = await startEntry({
      backends: [await backend(), await backend()],
    });
    const response = await call(entry, "/stream/x");
    expect(response.body).toEqual(
      "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n",
    );
    expect(response.isComplete).toEqual(true);
    expect(resumedAfter).toEqual([undefined, "1"]);
  });

  // Guards against a stream that begins anew for a caller that resumes it, and
  // so gets pieces twice.
  it("refuses to resume a stream after an event that can't be read", async () => {
    const backend = await startBackend(respondDone);
    const entry = await startEntry({ backends: [backend] });
    for (const id of ["x", "-1", "1.5", "9".repeat(30), "3, 4"]) {
      const resumed = { "last-event-id": id };
      expect((await call(entry, "/stream/x", resumed)).status).toEqual(400);
      expect((await call(entry, "/safe/x", resumed)).status).toEqual(200);
    }
  });

  it("refuses a stream as not run while every replica is full", async () => {
    let calls = 0;
    const backend = await startBackend((incoming, response) => {
      calls += 1;
      response.writeHead(200, {
        "attempt-id": idOf(incoming),
        "server-stamp": "s",
        "content-type": "text/event-stream",
      });
      response.end("id: 1\ndata: a\n\n");
    });
    const loads = new LoadTracker();
    const load = { running: 4, waiting: 1, slots: 4 };
    loads.noteLoad(backend.instanceId, load, readNowMs());
    const entry = await startEntry({ backends: [backend], loads });
    const refused = await call(entry, "/stream/x");
    expect([refused.status, calls]).toEqual([503, 0]);
    expect(refused.headers["retry-after"]).toEqual("1.20");
    const resumed = { "last-event-id": "0" };
    expect((await call(entry, "/stream/x", resumed)).status).toEqual(200);
    const late = { "deadline-ms": "1500" };
    expect((await call(entry, "/stream/x", late)).status).toEqual(200);
    const idle = { running: 3, waiting: 0, slots: 4 };
    loads.noteLoad(backend.instanceId, idle, readNowMs());
    expect((await call(entry, "/stream/x")).status).toEqual(200);
  });

  it("records an instance that announces its leaving in any response", async () => {
    const left: ServingTarget[] = [];
    const leaving = await startBackend((incoming, response) => {
      response.writeHead(200, {
        "attempt-id": idOf(incoming),
        "server-stamp": "s",
        "server-leaving": "1",
      }).end("done");
    });
    const rejecting = await startBackend((_incoming, response) => {
      response.writeHead(503, { "not-executed": "1", "server-leaving": "1" })
        .end();
    });
    const noteLeaving = (target: ServingTarget) => left.push(target);
    for (const backend of [leaving, rejecting]) {
      const entry = await startEntry({ backends: [backend], noteLeaving });
      await call(entry, "/safe/x");
    }
    expect(left).toEqual([leaving, rejecting]);
  });

  it("sends nothing during a back-off, and refuses at once with its remaining time", async () => {
    let calls = 0;
    const backend = await startBackend((_incoming, response) => {
      calls += 1;
      response.writeHead(503, { "not-executed": "1", "retry-after": "30.5" })
        .end();
    });
    const entry = await startEntry({ backends: [backend] });
    await call(entry, "/safe/x");
    expect(calls).toEqual(1);
    for (const path of ["/safe/x", "/once/x", "/stream/x"]) {
      const refused = await call(entry, path);
      expect(refused.status).toEqual(503);
      const retryAfterSeconds = Number(refused.headers["retry-after"]);
      expect(retryAfterSeconds > 29 && retryAfterSeconds <= 30.5)
        .toEqual(true);
    }
    expect(calls).toEqual(1);
  });

  it("sends to another instance during a back-off", async () => {
    let rejections = 0;
    const backingOff = await startBackend((_incoming, response) => {
      rejections += 1;
      response.writeHead(503, { "not-executed": "1", "retry-after": "30" })
        .end();
    });
    const other = await startBackend(respondDone);
    const entry = await startEntry({ backends: [backingOff, other] });
    for (let index = 0; index < 8; index++) {
      expect((await call(entry, "/safe/x")).status).toEqual(200);
    }
    expect(rejections <= 1).toEqual(true);
  });

  it("ignores and reports a Retry-After that can't be parsed", async () => {
    const messages: string[] = [];
    let calls = 0;
    const backend = await startBackend((_incoming, response) => {
      calls += 1;
      response.writeHead(503, { "not-executed": "1", "retry-after": "-3" })
        .end();
    });
    const entry = await startEntry({
      backends: [backend],
      onMalformedHeaders: (_id, message) => messages.push(message),
    });
    await call(entry, "/safe/x");
    await call(entry, "/safe/x");
    expect(calls).toEqual(2);
    expect(messages[0]).toEqual("retry-after is -3, not in seconds");
  });

  it("moves a stream away from a replica that became slow", async () => {
    const stalls = new StallDetector();
    const paces = new PaceTracker();
    const ids: string[] = [];
    let slowId: string | undefined;
    const backend = async () => {
      const target = await startBackend((incoming, response) => {
        response.writeHead(200, {
          "attempt-id": idOf(incoming),
          "server-stamp": "s",
          "content-type": "text/event-stream",
        });
        if (slowId !== undefined) {
          response.end("id: 1\ndata: b\n\n");
          return;
        }
        slowId = target.instanceId;
        response.write("id: 0\ndata: a\n\n");
        setTimeout(() => {
          const nowMs = readNowMs();
          for (const instanceId of ids) {
            const pauseMs = instanceId === slowId ? 400 : 40;
            for (let count = 0; count < 10; count++) {
              paces.notePause({
                instanceId,
                epoch: 0,
                model: "",
                pauseMs,
                nowMs,
              });
            }
          }
          expect(paces.listSlow(nowMs)).toEqual([slowId!]);
          stalls.moveAttempts(slowId!, { reason: "slow", nowMs: readNowMs() });
        }, 20);
      });
      ids.push(target.instanceId);
      return target;
    };
    const entry = await startEntry({
      backends: [await backend(), await backend()],
      stalls,
      paces,
    });
    const response = await call(entry, "/stream/x");
    expect(response.body).toEqual("id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    expect(response.isComplete).toEqual(true);
  });

  it("leaves a stream at a stalled replica while the retry budget is exhausted", async () => {
    const stalls = new StallDetector();
    let retriesLeft = 0;
    let first: string | undefined;
    const backend = async () => {
      const target = await startBackend((incoming, response) => {
        response.writeHead(200, {
          "attempt-id": idOf(incoming),
          "server-stamp": "s",
          "content-type": "text/event-stream",
        });
        if (first !== undefined) {
          response.end("id: 1\ndata: b\n\n");
          return;
        }
        first = target.instanceId;
        response.write("id: 0\ndata: a\n\n");
        setTimeout(
          () =>
            stalls.moveAttempts(first!, {
              reason: "stalled",
              nowMs: readNowMs(),
            }),
          20,
        );
        setTimeout(() => {
          retriesLeft = 1;
          stalls.moveAttempts(first!, {
            reason: "stalled",
            nowMs: readNowMs(),
          });
        }, 60);
      });
      return target;
    };
    const entry = await startEntry({
      backends: [await backend(), await backend()],
      stalls,
      trySpend: () => retriesLeft-- > 0,
    });
    const response = await call(entry, "/stream/x");
    expect(response.body).toEqual("id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    expect(response.isComplete).toEqual(true);
  });

  it("reports a request that reached no instance as not run, even at its deadline", async () => {
    const unreachable = await startBackend(() => {});
    const entry = await startEntry({
      backends: [unreachable],
      agentFor: () => new UnreachableAgent(),
    });
    for (const path of ["/safe/x", "/stream/x"]) {
      const response = await call(entry, path, { "deadline-ms": "150" });
      expect(response.status).toEqual(503);
      expect(response.headers["retry-after"] !== undefined).toEqual(true);
    }
  });

  it("tries another instance if a connection fails, without spending a retry", async () => {
    const unreachable = await startBackend(() => {});
    const reachable = await startBackend(respondDone);
    const loads = new LoadTracker();
    const load = { running: 3, waiting: 0, slots: 4 };
    loads.noteLoad(reachable.instanceId, load, readNowMs());
    const entry = await startEntry({
      backends: [unreachable, reachable],
      loads,
      agentFor: (address) =>
        address === unreachable.address ? new UnreachableAgent() : new Agent(),
      trySpend: () => false,
    });
    expect((await call(entry, "/safe/x")).status).toEqual(200);
  });

  it("aborts a stream whose event ids are not consecutive", async () => {
    const backend = () =>
      startBackend((incoming, response) => {
        response.writeHead(200, {
          "attempt-id": idOf(incoming),
          "server-stamp": "s",
          "content-type": "text/event-stream",
        });
        response.end("id: 0\ndata: a\n\nid: 2\ndata: c\n\n");
      });
    const entry = await startEntry({
      backends: [await backend(), await backend()],
    });
    const response = await call(entry, "/stream/x");
    expect(response.isComplete).toEqual(false);
    expect(response.body).toEqual("id: 0\ndata: a\n\n");
  });
});

/** Never connects, as if all packets were dropped. */
class UnreachableAgent extends Agent {
  override createConnection(): Socket {
    return Object.defineProperty(new Socket(), "connecting", { value: true });
  }
}
