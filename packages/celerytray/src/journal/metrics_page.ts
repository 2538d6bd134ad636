import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { RequestListener } from "node:http";

/** Upper bounds of latency buckets, in seconds. */
const LATENCY_BUCKETS = [0.05, 0.1, 0.25, 0.4, 0.75, 1.5, 3, 6, 10];

/** A value of a gauge with the value of its label. */
export interface LabelledValue {
  readonly label: string;
  readonly value: number;
}

/** Metrics of a process, served in the Prometheus text format. */
export class MetricsPage {
  readonly #registry = new Registry();
  readonly #requests = new Counter({
    name: "celerytray_requests_total",
    help: "Requests by outcome",
    labelNames: ["outcome", "status"],
    registers: [this.#registry],
  });
  readonly #attempts = new Counter({
    name: "celerytray_attempts_total",
    help: "Attempts at back ends",
    registers: [this.#registry],
  });
  readonly #storeCalls = new Counter({
    name: "celerytray_store_calls_total",
    help: "Calls to the store by kind and topic",
    labelNames: ["call", "topic"],
    registers: [this.#registry],
  });
  readonly #firstByte = new Histogram({
    name: "celerytray_first_byte_seconds",
    help: "Time from a request's head to the first event of its answer",
    buckets: LATENCY_BUCKETS,
    registers: [this.#registry],
  });
  readonly #duration = new Histogram({
    name: "celerytray_request_seconds",
    help: "Time from a request's head to the end of its answer",
    buckets: LATENCY_BUCKETS,
    registers: [this.#registry],
  });

  /** Records a finished request: outcome, attempts and times. */
  recordRequest(request: {
    readonly outcome: string;
    readonly status: number;
    readonly attempts: number;
    readonly durationMs: number;
    readonly firstByteMs?: number;
  }): void {
    const { outcome, status } = request;
    this.#requests.inc({ outcome, status: String(status) });
    this.#attempts.inc(request.attempts);
    this.#duration.observe(request.durationMs / 1000);
    if (request.firstByteMs !== undefined) {
      this.#firstByte.observe(request.firstByteMs / 1000);
    }
  }

  countStoreCall(call: string, topic: string): void {
    this.#storeCalls.inc({ call, topic });
  }

  /** Adds a gauge whose value is read when the page is requested. */
  addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read());
      },
    });
  }

  /**
   * Adds a gauge with one label, read when the page is requested. The label
   * must have few distinct values.
   */
  addLabelledGauge(
    options: {
      readonly name: string;
      readonly help: string;
      readonly labelName: string;
      readonly read: () => readonly LabelledValue[];
    },
  ): void {
    const { name, help, labelName, read } = options;
    new Gauge({
      name,
      help,
      labelNames: [labelName],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const { label, value } of read()) {
          this.set({ [labelName]: label }, value);
        }
      },
    });
  }

  /** Adds a counter; its labels must have few distinct values. */
  addCounter<Label extends string>(
    options: {
      readonly name: string;
      readonly help: string;
      readonly labelNames: readonly Label[];
    },
  ): Counter<Label> {
    return new Counter({
      ...options,
      labelNames: [...options.labelNames],
      registers: [this.#registry],
    });
  }

  /** Creates the listener that serves the page. */
  handler(): RequestListener {
    return (_request, response) => {
      this.#registry.metrics().then((text) => {
        response.writeHead(200, { "content-type": this.#registry.contentType });
        response.end(text);
      }, () => response.destroy());
    };
  }
}
