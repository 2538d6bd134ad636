import { Agent, type ClientRequest } from "node:http";
import type { Duplex } from "node:stream";

const MAX_FREE_CONNECTIONS = 64;
const MAX_POOLS = 20_000;

/** Closes connections on which data arrives while they are unused. */
class IdleGuardAgent extends Agent {
  // Node calls this method when a connection becomes unused, and the next one
  // when it is used again.
  override keepSocketAlive(socket: Duplex): void {
    socket.on("data", closeSocket);
    socket.resume();
    // Node reads the value as whether to keep the connection.
    return super.keepSocketAlive(socket);
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.off("data", closeSocket);
    super.reuseSocket(socket, request);
  }
}

function closeSocket(this: Duplex): void {
  this.destroy();
}

/** Keep-alive connections to back ends, one pool for each address. */
export class BackendPools {
  readonly #agents = new Map<string, Agent>();

  /** The pool of an address (IP:PORT). */
  agentFor(address: string): Agent {
    let agent = this.#agents.get(address);
    if (agent === undefined) {
      if (this.#agents.size >= MAX_POOLS) this.#discardOldest();
      agent = new IdleGuardAgent({
        keepAlive: true,
        maxFreeSockets: MAX_FREE_CONNECTIONS,
      });
      this.#agents.set(address, agent);
    }
    return agent;
  }

  /** Whether a connection to an address is open and unused. */
  hasFreeConnection(address: string): boolean {
    const agent = this.#agents.get(address);
    return agent !== undefined && Object.keys(agent.freeSockets).length > 0;
  }

  /**
   * Closes the unused connections of an address and stops reuse of those in
   * use, so that the next call opens a new one.
   */
  discard(address: string): void {
    const agent = this.#agents.get(address);
    if (agent === undefined) return;
    this.#agents.delete(address);
    agent.maxFreeSockets = 0;
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Closes every unused connection. */
  close(): void {
    for (const address of [...this.#agents.keys()]) this.discard(address);
  }

  #discardOldest(): void {
    for (const address of this.#agents.keys()) {
      this.discard(address);
      return;
    }
  }
}
