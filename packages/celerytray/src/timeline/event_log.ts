import createDebug from "debug";
import { format } from "node:util";
import type { TimelineEvent } from "./timeline.ts";

const eventLog = createDebug("celerytray:event");

/** Writes an event as one JSON line, if celerytray:event is enabled. */
export function logEvent(event: TimelineEvent): void {
  if (!eventLog.enabled) return;
  const { at, ...fields } = event;
  const time = new Date(at.physicalMs).toISOString();
  createDebug.log(
    JSON.stringify({ time, logger: "celerytray:event", ...fields }),
  );
}

/** Makes every debug logger of this process write JSON lines. */
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
