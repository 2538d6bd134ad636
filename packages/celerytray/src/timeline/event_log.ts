import createDebug from "debug";
import { format } from "node:util";
import type { TimelineEvent } from "./timeline.ts";

const debugEvent = createDebug("celerytray:event");

/** Writes an event as a JSON line if the celerytray:event logger is enabled. */
export function logEvent(event: TimelineEvent): void {
  if (!debugEvent.enabled) return;
  const { at, ...fields } = event;
  const time = new Date(at.physicalMs).toISOString();
  createDebug.log(
    JSON.stringify({ time, logger: "celerytray:event", ...fields }),
  );
}

/** Formats the output of all debug loggers of this process as JSON lines. */
export function useJsonLogs(options: { readonly process: string }): void {
  createDebug.formatArgs = function (
    this: createDebug.Debugger,
    args: unknown[],
  ): void {
    const line = JSON.stringify({
      time: new Date().toISOString(),
      logger: this.namespace,
      process: options.process,
      message: format(...args),
    });
    args.splice(0, args.length, "%s", line);
  };
}
