/**
 * Entry point of the host program. Handles signals before it loads the rest,
 * which takes longer than anything else in a start.
 */
import { ProcessSignals } from "./process_signals.ts";

const signals = new ProcessSignals();
const { runProgram } = await import("./run_host.ts");
process.exit(await runProgram(signals));
