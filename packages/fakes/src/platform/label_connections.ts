/**
 * Loaded into a process before its program (`node --import`): its connections to
 * loopback come from an address that tells its process id, so that a proxy knows
 * whose they are. Nothing else changes for the program.
 */
import { Socket, type SocketConnectOpts } from "node:net";
import { addressOfProcess } from "./process_address.ts";

const LOOPBACK_PREFIX = "127.";
const localAddress = addressOfProcess(process.pid);
const connect = Socket.prototype.connect;

Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
  // Node passes the options on as the first item of a list.
  const [first] = args;
  const options = (Array.isArray(first) ? first[0] : first) as
    | (SocketConnectOpts & { host?: string; localAddress?: string })
    | undefined;
  if (options?.host?.startsWith(LOOPBACK_PREFIX) === true) {
    options.localAddress ??= localAddress;
  }
  return Reflect.apply(connect, this, args);
} as typeof connect;
