/**
 * Main module of each process of the relay benchmark; the role comes in the
 * first argument.
 */
import type { RelayLoad, RelayStart } from "./relay_messages.ts";
import { runClient } from "./run_client.ts";
import { serveEntry } from "./serve_entry.ts";
import { servePipe } from "./serve_pipe.ts";
import { serveSource } from "./serve_source.ts";

const start = JSON.parse(process.argv[2]!) as RelayStart;
const onListening = (port: number) => process.send!(`127.0.0.1:${port}`);

switch (start.role) {
  case "source":
    serveSource(onListening);
    break;
  case "pipe":
    servePipe(start.sources ?? [], onListening);
    break;
  case "entry":
    serveEntry(start.sources ?? [], onListening);
    break;
  case "client":
    process.on("message", (load: RelayLoad) => {
      void runClient(load).then((report) => process.send!(report));
    });
    process.send!("ready");
}
process.on("message", (message) => {
  if (message === "cpu") process.send!(process.cpuUsage());
});
process.once("SIGTERM", () => process.exit(0));
