import {
  type LinkFault,
  type LinkFaults,
  LoopbackProxy,
} from "./loopback_proxy.ts";
import { addressOfProcess } from "./process_address.ts";

/** How the links of a process are cut. */
export const cutModes = [
  /** Nothing passes, on open connections and on new ones. */
  "hang",
  /** Open connections are reset, and new ones too. */
  "reset",
  /** Open connections live on; new ones are reset. */
  "refuse-new",
] as const;
export type CutMode = typeof cutModes[number];

const FAULTS: Readonly<
  Record<CutMode, {
    readonly open: LinkFault | undefined;
    readonly opening: LinkFault;
  }>
> = {
  "hang": { open: "silence", opening: "silence" },
  "reset": { open: "reset", opening: "reset" },
  "refuse-new": { open: undefined, opening: "reset" },
};

/**
 * Proxies whose links can be cut for chosen processes of this machine, which
 * take no part in it but for `LABEL_OPTIONS`, by which their connections are
 * known.
 */
export class ProcessCuts {
  readonly #proxies = new Set<LoopbackProxy>();
  #faults: LinkFaults = {};

  /** Starts a proxy in front of an address; returns the proxy's address. */
  async startProxy(upstream: string): Promise<string> {
    const proxy = new LoopbackProxy(upstream);
    const address = await proxy.start();
    this.add(proxy);
    return address;
  }

  /** Has the links of a listening proxy be cut too, at once during a cut. */
  add(proxy: LoopbackProxy): void {
    this.#proxies.add(proxy);
    proxy.setLinkFaults(this.#faults);
  }

  /** Forgets a proxy that is stopped. */
  remove(proxy: LoopbackProxy): void {
    this.#proxies.delete(proxy);
  }

  /** Cuts the links from the given processes to all proxies. */
  cut(pids: readonly number[], mode: CutMode): void {
    const cut = new Set(pids.map(addressOfProcess));
    const { open, opening } = FAULTS[mode];
    this.#setFaults({
      open: (address) => cut.has(address) ? open : undefined,
      opening: (address) => cut.has(address) ? opening : undefined,
    });
  }

  /** Ends the cut; resets the connections on which something was held back. */
  end(): void {
    this.#setFaults({});
  }

  stop(): void {
    for (const proxy of this.#proxies) proxy.stop();
  }

  #setFaults(faults: LinkFaults): void {
    this.#faults = faults;
    for (const proxy of this.#proxies) proxy.setLinkFaults(faults);
  }
}

/** Options of Node.js with which the processes start whose links may be cut. */
export const LABEL_OPTIONS = `--import=${new URL(
  "./label_connections.js",
  import.meta.url,
)}`;
