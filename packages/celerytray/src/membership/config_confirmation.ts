import type { ExchangeMessage } from "./exchange.ts";
import type { Member } from "./member_table.ts";
import type { ExchangedConfig } from "./membership_ports.ts";

/**
 * Confirms the configuration when this instance starts without the log: more
 * than half of the known peers must have answered with a version no higher than
 * its own. Peers that count as gone are included, as they may be alive on the
 * other side of a partition.
 */
export class ConfigConfirmation {
  readonly #config: ExchangedConfig;
  /** Peers whose version this instance has reached while it lacks confirmation. */
  readonly #confirmedBy = new Set<string>();

  constructor(config: ExchangedConfig) {
    this.#config = config;
  }

  /** Records a peer's answer, and confirms if the majority is reached. */
  recordAnswer(answer: ExchangeMessage, members: readonly Member[]): void {
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
