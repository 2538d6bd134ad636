import type { ExchangeMessage } from "./exchange.ts";
import type { Member } from "./member_table.ts";
import type { ExchangedConfig } from "./membership_ports.ts";

/**
 * Whether most peers were heard and none has a higher version. A start without
 * the log needs more than half of the peers known. Those that look gone count
 * too: they may live beyond a partition.
 */
export class ConfigConfirmation {
  readonly #config: ExchangedConfig;
  /** Peers whose version this instance has reached since it lacked its own. */
  readonly #confirmedBy = new Set<string>();

  constructor(config: ExchangedConfig) {
    this.#config = config;
  }

  /** Takes note of a peer's answer. */
  noteAnswer(answer: ExchangeMessage, members: readonly Member[]): void {
    const config = this.#config;
    if (!config.lacksConfig()) {
      this.#confirmedBy.clear();
      return;
    }
    const isReached = answer.lacksConfig !== true &&
      config.version() >= answer.configVersion;
    if (!isReached) return;
    this.#confirmedBy.add(answer.sender.instanceId);
    const known = members.filter(({ state }) => state !== "left");
    const confirmed = known.filter(({ instanceId }) =>
      this.#confirmedBy.has(instanceId)
    );
    if (2 * confirmed.length > known.length) config.confirm();
  }
}
