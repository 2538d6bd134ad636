import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Faults of a link; `up` is the direction from the client. */
export const linkFaults = [
  "delay",
  "reset",
  "cut-up",
  "cut-down",
  "silence",
] as const;
export type LinkFault = typeof linkFaults[number];

/** Delay added in each direction of a delayed link. */
export const LINK_DELAY_MS = 120;
const HOST = "127.0.0.1";

/** A TCP proxy on loopback whose link can be made faulty. */
export class LoopbackProxy {
  /** Address that connections are forwarded to. */
  upstream: string;
  /** Current fault of all links; changed by `setFault`. */
  fault: LinkFault | undefined;
  /** Whether new connections are accepted; open ones continue. */
  acceptsConnections = true;
  readonly #server: Server;
  readonly #links = new Set<Link>();
  #opening: LinkFaults["opening"];
  readonly #refusedPorts = new Set<number>();

  constructor(upstream: string) {
    this.upstream = upstream;
    this.#server = createServer(
      { allowHalfOpen: true },
      (client) => this.#open(client),
    );
  }

  /** Starts listening; returns the address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, HOST, () => resolve())
    );
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Sets the fault, `undefined` for none; resets links that dropped bytes. */
  setFault(fault: LinkFault | undefined): void {
    this.fault = fault;
    for (const link of this.#links) link.resetIfRequired(fault);
  }

  /**
   * Sets the faults of single links, in place of those set before. A fault of
   * all links goes first.
   */
  setLinkFaults({ open, opening }: LinkFaults): void {
    this.#opening = opening;
    for (const link of this.#links) link.setFault(open?.(link.clientAddress));
  }

  /** Whether a client's connection was refused, by its local port. */
  wasRefused(port: number): boolean {
    return this.#refusedPorts.has(port);
  }

  stop(): void {
    this.#server.close();
    for (const link of this.#links) link.reset();
  }

  #open(client: Socket): void {
    client.on("error", () => {});
    const linkFault = this.#opening?.(client.remoteAddress ?? "");
    const [host, port] = this.upstream.split(":");
    const clientPort = client.remotePort ?? 0;
    // Port numbers are reused for later connections.
    if (this.acceptsConnections) this.#refusedPorts.delete(clientPort);
    else this.#refusedPorts.add(clientPort);
    const fault = this.fault ?? linkFault;
    if (!this.acceptsConnections || fault === "reset") {
      resetConnection(client);
      return;
    }
    const target = connect({ host, port: Number(port), allowHalfOpen: true });
    const link = new Link({ client, target, proxy: this });
    link.setFault(linkFault);
    this.#links.add(link);
    target.once("error", ({ code }: NodeJS.ErrnoException) => {
      if (code === "ECONNREFUSED") this.#refusedPorts.add(clientPort);
    });
    const removeClosed = () => {
      if (client.closed && target.closed) this.#links.delete(link);
    };
    // A fault may keep one side's end from the other, so both must close.
    for (const side of [client, target]) side.once("close", removeClosed);
  }
}

/** One connection through the proxy. */
class Link {
  readonly clientAddress: string;
  readonly #client: Socket;
  readonly #target: Socket;
  readonly #proxy: LoopbackProxy;
  #hasDroppedBytes = false;
  #fault: LinkFault | undefined;

  constructor({ client, target, proxy }: LinkOptions) {
    this.clientAddress = client.remoteAddress ?? "";
    this.#client = client;
    this.#target = target;
    this.#proxy = proxy;
    this.#forward({ from: client, to: target, cut: "cut-up" });
    this.#forward({ from: target, to: client, cut: "cut-down" });
  }

  /** Sets the fault of this link alone. */
  setFault(fault: LinkFault | undefined): void {
    this.#fault = fault;
    this.resetIfRequired(fault);
  }

  /** Resets it if a new fault says so, or if bytes are missing. */
  resetIfRequired(fault: LinkFault | undefined): void {
    if (fault === "reset" || this.#hasDroppedBytes) this.reset();
  }

  reset(): void {
    resetConnection(this.#client);
    resetConnection(this.#target);
  }

  #forward({ from, to, cut }: Direction): void {
    const queue: Delivery[] = [];
    const deliver = () => {
      const nowMs = performance.now();
      while (queue.length > 0 && queue[0]!.atMs <= nowMs) queue.shift()!.act();
      const [next] = queue;
      // Timers may fire less than 1 ms early, as they use whole milliseconds.
      if (next) setTimeout(deliver, Math.ceil(next.atMs - nowMs));
    };
    const enqueue = (act: () => void) => {
      const fault = this.#proxy.fault ?? this.#fault;
      if (fault === cut || fault === "silence") {
        this.#hasDroppedBytes = true;
        return;
      }
      const nowMs = performance.now();
      const delayMs = fault === "delay" ? LINK_DELAY_MS : 0;
      const lastMs = queue.at(-1)?.atMs ?? 0;
      queue.push({ atMs: Math.max(nowMs + delayMs, lastMs), act });
      if (queue.length === 1) deliver();
    };
    from.on("data", (chunk) => enqueue(() => to.destroyed || to.write(chunk)));
    from.on("end", () => enqueue(() => to.end()));
    from.on("error", () => enqueue(() => this.reset()));
    from.on("close", () => enqueue(() => to.destroySoon()));
  }
}

/**
 * Resets a connection. On Node.js 20, a reset while the FIN is pending fails
 * and leaves the handle open for ever; the process then busy-loops at exit.
 */
export function resetConnection(socket: Socket): void {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  if (isEnding) socket.destroy();
  else socket.resetAndDestroy();
}

/** Faults of single links, by the client's local port; none if absent. */
export interface LinkFaults {
  /** Those of links that are open. */
  readonly open?: (clientAddress: string) => LinkFault | undefined;
  /** Those of links that are being opened. */
  readonly opening?: (clientAddress: string) => LinkFault | undefined;
}

interface LinkOptions {
  readonly client: Socket;
  readonly target: Socket;
  readonly proxy: LoopbackProxy;
}

/** A scheduled delivery; each direction keeps its order. */
interface Delivery {
  readonly atMs: number;
  readonly act: () => void;
}

interface Direction {
  readonly from: Socket;
  readonly to: Socket;
  readonly cut: LinkFault;
}
