import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** What a link does to the bytes on it; `up` is from the client. */
export const linkFaults = [
  "delay",
  "reset",
  "cut-up",
  "cut-down",
  "silence",
] as const;
export type LinkFault = typeof linkFaults[number];

/** Added to each direction of a delayed link. */
export const LINK_DELAY_MS = 120;
const HOST = "127.0.0.1";

/** A TCP proxy on loopback whose link can be made faulty. */
export class LoopbackProxy {
  /** Where connections go to. */
  upstream: string;
  /** What the links do now; begun and ended by `setFault`. */
  fault: LinkFault | undefined;
  /** Whether new connections are let in; open ones go on. */
  takesNew = true;
  readonly #server: Server;
  readonly #links = new Set<Link>();
  readonly #refusedPorts = new Set<number>();

  constructor(upstream: string) {
    this.upstream = upstream;
    this.#server = createServer(
      { allowHalfOpen: true },
      (client) => this.#open(client),
    );
  }

  /** Listens; returns its address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, HOST, () => resolve())
    );
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Begins a fault or, with nothing, ends it; links that lost bytes end. */
  setFault(fault: LinkFault | undefined): void {
    this.fault = fault;
    for (const link of this.#links) {
      if (fault === "reset" || link.hasLostBytes) link.reset();
    }
  }

  /** Whether nothing listened behind a connection of a client from a port. */
  wasRefused(port: number): boolean {
    return this.#refusedPorts.has(port);
  }

  stop(): void {
    this.#server.close();
    for (const link of this.#links) link.reset();
  }

  #open(client: Socket): void {
    const [host, port] = this.upstream.split(":");
    const clientPort = client.remotePort ?? 0;
    // A port number comes back after a while, for another connection.
    if (this.takesNew) this.#refusedPorts.delete(clientPort);
    else this.#refusedPorts.add(clientPort);
    if (!this.takesNew || this.fault === "reset") {
      client.on("error", () => {});
      resetConnection(client);
      return;
    }
    const target = connect({ host, port: Number(port), allowHalfOpen: true });
    const link = new Link(client, target, this);
    this.#links.add(link);
    target.once("error", ({ code }: NodeJS.ErrnoException) => {
      if (code === "ECONNREFUSED") this.#refusedPorts.add(clientPort);
    });
    const forget = () => {
      if (client.closed && target.closed) this.#links.delete(link);
    };
    // A fault may keep the end of one side from the other.
    for (const side of [client, target]) side.once("close", forget);
  }
}

/** One connection through the proxy. */
class Link {
  hasLostBytes = false;
  readonly #client: Socket;
  readonly #target: Socket;

  constructor(client: Socket, target: Socket, proxy: LoopbackProxy) {
    this.#client = client;
    this.#target = target;
    this.#carry({ from: client, to: target, cut: "cut-up" }, proxy);
    this.#carry({ from: target, to: client, cut: "cut-down" }, proxy);
  }

  reset(): void {
    resetConnection(this.#client);
    resetConnection(this.#target);
  }

  #carry({ from, to, cut }: Direction, proxy: LoopbackProxy): void {
    const queue: Delivery[] = [];
    const deliver = () => {
      const nowMs = performance.now();
      while (queue.length > 0 && queue[0]!.atMs <= nowMs) queue.shift()!.act();
      const [next] = queue;
      // Timers may fire early by less than one of their whole milliseconds.
      if (next) setTimeout(deliver, Math.ceil(next.atMs - nowMs));
    };
    const pass = (act: () => void) => {
      const { fault } = proxy;
      if (fault === cut || fault === "silence") {
        this.hasLostBytes = true;
        return;
      }
      const nowMs = performance.now();
      const delayMs = fault === "delay" ? LINK_DELAY_MS : 0;
      const lastMs = queue.at(-1)?.atMs ?? 0;
      queue.push({ atMs: Math.max(nowMs + delayMs, lastMs), act });
      if (queue.length === 1) deliver();
    };
    from.on("data", (chunk) => pass(() => to.destroyed || to.write(chunk)));
    from.on("end", () => pass(() => to.end()));
    from.on("error", () => pass(() => this.reset()));
    from.on("close", () => pass(() => to.destroySoon()));
  }
}

/**
 * Resets a connection. On Node.js 20 a reset while its end is being sent fails
 * and leaves the handle open for ever; the process then spins at its exit.
 */
export function resetConnection(socket: Socket): void {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  if (isEnding) socket.destroy();
  else socket.resetAndDestroy();
}

/** What is passed on at a time; the order of a direction is kept. */
interface Delivery {
  readonly atMs: number;
  readonly act: () => void;
}

interface Direction {
  readonly from: Socket;
  readonly to: Socket;
  readonly cut: LinkFault;
}
