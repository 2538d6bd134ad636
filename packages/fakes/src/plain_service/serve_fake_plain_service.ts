import type { IncomingHttpHeaders } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createJsonServer,
  type FakeServer,
  type JsonAnswer,
  type JsonCall,
} from "../http/index.ts";

/** One execution of a call. */
export interface PlainRun {
  readonly method: string;
  readonly path: string;
  readonly key: string | undefined;
  readonly requestId: string | undefined;
  readonly body: unknown;
  readonly ranAtMs: number;
  readonly headers: IncomingHttpHeaders;
  /** Remote port of the connection on which the call arrived. */
  readonly remotePort: number;
}

/** Faults of the fake plain service. */
export interface PlainFaults {
  /** Runs the call, then closes the connection without a response. */
  readonly losesAnswers?: boolean;
  /** Runs the call, then closes the connection halfway through the response. */
  readonly cutsAnswers?: boolean;
  /** Runs the call, then sends half the response body without a content length. */
  readonly omitsLength?: boolean;
  /** Runs the call and sends another call's response. */
  readonly crossesAnswers?: boolean;
  /** Runs the call and never answers. */
  readonly isSilent?: boolean;
  readonly delayMs?: number;
}

const FOREIGN_REQUEST_ID = "req-00000000-0000-4000-8000-000000000000";

interface ServiceState {
  faults: PlainFaults;
  readonly runs: PlainRun[];
  readonly instanceId: string;
}

/**
 * Serves calls and records each execution; `GET /runs` lists them, `POST
 * /faults` sets the faults.
 */
export function serveFakePlainService(options: {
  readonly address: string;
  readonly instanceId: string;
  readonly faults?: PlainFaults;
}): Promise<FakeServer> {
  const state: ServiceState = {
    faults: options.faults ?? {},
    runs: [],
    instanceId: options.instanceId,
  };
  return createJsonServer({
    address: options.address,
    handle: (call) => handle(call, state),
  });
}

async function handle(
  call: JsonCall,
  state: ServiceState,
): Promise<JsonAnswer | undefined> {
  const { runs } = state;
  if (call.path === "/runs") return { status: 200, body: { runs } };
  if (call.path === "/faults") {
    state.faults = call.body as PlainFaults;
    return { status: 200, body: state.faults };
  }
  if (state.faults.delayMs !== undefined) await sleep(state.faults.delayMs);
  runs.push(describeRun(call));
  return answerRun(call, state);
}

function answerRun(
  call: JsonCall,
  { faults, runs, instanceId }: ServiceState,
): JsonAnswer | undefined {
  const { response, request } = call;
  if (faults.losesAnswers === true) {
    response.destroy();
    return undefined;
  }
  if (faults.isSilent === true) return undefined;
  const answer = {
    status: call.method === "POST" ? 201 : 200,
    body: {
      instanceId,
      runNumber: runs.length,
      path: call.path,
      query: call.query.toString(),
      received: call.body ?? null,
    },
  };
  const text = JSON.stringify(answer.body);
  if (faults.cutsAnswers === true) {
    response.writeHead(answer.status, { "content-length": text.length });
    response.write(text.slice(0, text.length / 2), () => response.destroy());
    return undefined;
  }
  if (faults.omitsLength === true) {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(answer.status, { connection: "close" });
    response.end(text.slice(0, text.length / 2));
    return undefined;
  }
  if (faults.crossesAnswers === true) {
    response.setHeader("x-request-id", FOREIGN_REQUEST_ID);
    return { ...answer, body: { ...answer.body, path: "/of-another-caller" } };
  }
  response.setHeader("x-request-id", String(request.headers["x-request-id"]));
  return answer;
}

function describeRun(call: JsonCall): PlainRun {
  const { headers } = call.request;
  return {
    method: call.method,
    path: call.path,
    key: headers["idempotency-key"] as string | undefined,
    requestId: headers["x-request-id"] as string | undefined,
    body: call.body,
    ranAtMs: Date.now(),
    headers,
    remotePort: call.request.socket.remotePort ?? 0,
  };
}
