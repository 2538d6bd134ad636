/**
 * Loaded before the program, it closes the connection of a caller to whom
 * nothing of a stream was written for a second: a program that takes the silence
 * of a sound replica for its end.
 */
import { ServerResponse } from "node:http";

const MAX_SILENCE_MS = 1_000;

const { write } = ServerResponse.prototype;
const timers = new WeakMap<ServerResponse, NodeJS.Timeout>();

ServerResponse.prototype.write = function (
  this: ServerResponse,
  ...all: unknown[]
): boolean {
  clearTimeout(timers.get(this));
  const cut = () => {
    if (!this.writableEnded) this.socket?.destroy();
  };
  timers.set(this, setTimeout(cut, MAX_SILENCE_MS).unref());
  return Reflect.apply(write, this, all);
};
