/** The frame of a case: its record, its verdict and its end. */
import { writeFileSync } from "node:fs";
import { request } from "node:http";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const MAX_RUN_MS = 115_000;

/** Whether the disruption is played; without it the rule must hold. */
export const hasTrouble = process.env.TROUBLE !== "0";

/**
 * Runs a case. `play` returns what broke the rule, one line each. Exits with 1
 * if there is any, 0 if there is none, and 2 if the case could not run.
 */
export async function runCase(moduleUrl, play) {
  const startedAtMs = performance.now();
  const lines = [];
  const record = (line) => {
    const atS = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
    lines.push(`${atS.padStart(8)} ${line}`);
  };
  const stops = [];
  let isFinished = false;
  const finish = async (code, verdict) => {
    if (isFinished) return;
    isFinished = true;
    for (const stop of stops.reverse()) await stop();
    record(verdict);
    const path = join(dirname(fileURLToPath(moduleUrl)), "record.txt");
    writeFileSync(path, lines.join("\n") + "\n");
    console.log(verdict);
    process.exit(code);
  };
  setTimeout(() => finish(2, "not run: out of time"), MAX_RUN_MS);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => finish(2, `not run: ended by ${signal}`));
  }
  record(hasTrouble ? "with the disruption" : "without the disruption");
  try {
    const broken = await play({ record, onEnd: (stop) => stops.push(stop) });
    for (const line of broken) record(`BROKEN: ${line}`);
    if (broken.length > 0) {
      await finish(1, `rule broken, ${broken.length} times: ${broken[0]}`);
    } else await finish(0, "rule held");
  } catch (error) {
    await finish(2, `not run: ${error.message}`);
  }
}

/** Sends a request as a requester does; resolves with its answer. */
export function call(
  { address, path, id, key, headers = {}, body, timeoutMs, agent = false },
) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const sentAtMs = performance.now();
    const finish = (answer) => resolve({ id, sentAtMs, ...answer });
    const sent = request({
      host,
      port: Number(port),
      path,
      method: "POST",
      agent,
      headers: {
        host: "fleet.example",
        "attempt-id": id,
        "deadline-ms": String(timeoutMs),
        "x-api-key": key,
        ...headers,
      },
    });
    sent.setTimeout(timeoutMs + 1_000, () => sent.destroy());
    sent.on("error", ({ message }) => finish({ status: 0, body: message }));
    sent.on("response", (response) => {
      let text = "";
      response.setEncoding("utf8").on("data", (part) => text += part);
      response.on("error", () => {});
      response.on("close", () =>
        finish({
          status: response.statusCode,
          isWhole: response.complete,
          stamp: response.headers["server-stamp"],
          body: text,
        }));
    });
    sent.end(body ?? id);
  });
}

/** Creates the operator's config, like that of a small deployment. */
export function createConfig({ version, tenants, model, timeoutMs = 1_500 }) {
  const common = { host: "fleet.example", priority: 1, public: false };
  return {
    version,
    routes: [
      {
        ...common,
        name: "r-holds",
        path_prefix: "/holds/",
        kind: "unsafe",
        timeout_ms: timeoutMs,
        target_latency_ms: 121,
        service: "desk",
        max_attempts: 1,
      },
      {
        ...common,
        name: "r-lookups",
        path_prefix: "/lookups/",
        kind: "safe",
        timeout_ms: timeoutMs,
        target_latency_ms: 121,
        service: "desk",
        max_attempts: 2,
      },
      ...(model === undefined ? [] : [{
        ...common,
        name: "r-drafts",
        path_prefix: "/drafts/",
        kind: "streaming",
        timeout_ms: 8_000,
        target_latency_ms: 400,
        target_gap_ms: 250,
        service: "drafts",
        max_attempts: 2,
        sticky: true,
        resumable: true,
      }]),
    ],
    services: [
      { name: "desk", health_path: "/health", max_connections: 100 },
      ...(model === undefined ? [] : [{
        name: "drafts",
        health_path: "/health",
        max_connections: 404,
        engine: {
          slots: 8,
          kv_capacity: 1_710_000,
          stride: 6,
          step_ms: 6.45,
          per_seq_ms: 0.14,
          context_per_k: 0.0042,
          read_per_s: 56_100,
          pairs_per_m: 0.309,
          chunk: 2_048,
          report_lag_ms: 200,
          loads_per_s: 5.5,
          loads_at_once: 8,
          usual: { prompt: 1_115, answer: 152 },
          keeps: 1,
          far_x: 4,
          form_ms: 300,
          models: [model],
        },
      }]),
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: tenants.map(({ name, keys }) => ({
      name,
      api_keys: keys,
      priority: 1,
    })),
  };
}
