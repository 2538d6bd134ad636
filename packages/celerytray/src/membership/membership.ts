import { Clock, Effect, type Scope } from "effect";
import { ConfigConfirmation } from "./config_confirmation.ts";
import type { ExchangeAnswer, ExchangeMessage } from "./exchange.ts";
import { IsolationMonitor } from "./isolation_monitor.ts";
import { LeavingTable } from "./leaving_table.ts";
import { type Member, MemberTable } from "./member_table.ts";
import type { MembershipOptions } from "./membership_ports.ts";
import { DemandTable } from "./peer_demand.ts";
import { sample } from "./sample.ts";

/** Peers asked to probe a peer that does not answer. */
const PROBE_PEERS = 2;
/** Additional exchanges per interval while the configuration is lacking. */
const STARTUP_PEERS = 3;
/** Peers that receive urgent changes at once. */
const URGENT_PEERS = 3;
/** While peers are pinged, one round in this many makes a regular exchange. */
const PING_ROUNDS_PER_EXCHANGE = 2;
const SUSPICION_INTERVALS = 5;
const FORGET_INTERVALS = 120;
const DEMAND_INTERVALS = 60;
const LEAVING_MAX_AGE_MS = 15_000;
const MAX_UPDATES_SENT = 4;
const MAX_LEAVING_SENT = 4;
const WATCH_INTERVAL_MS = 100;
/** A timestamp further ahead of this clock is ignored as wrong. */
const MAX_CLOCK_AHEAD_MS = 60_000;

/** State shared with the other entry instances through periodic exchanges. */
export class Membership {
  readonly table: MemberTable;
  readonly isolation: IsolationMonitor;
  readonly leaving = new LeavingTable({ maxAgeMs: LEAVING_MAX_AGE_MS });
  readonly demand: DemandTable;
  readonly #options: MembershipOptions;
  #roundCount = 0;
  /** Increases with each change that is to be sent at once. */
  #changeCount = 0;
  readonly #confirmation: ConfigConfirmation;

  constructor(options: MembershipOptions, startedAtMs: number) {
    const { self, intervalMs, onMemberChange } = options;
    this.#options = options;
    this.#confirmation = new ConfigConfirmation(options.config);
    this.table = new MemberTable({
      self,
      intervalMs,
      startedAtMs,
      ...(onMemberChange === undefined ? {} : { onChange: onMemberChange }),
      suspicionMs: SUSPICION_INTERVALS * intervalMs,
      forgetMs: FORGET_INTERVALS * intervalMs,
    });
    this.isolation = new IsolationMonitor({
      timeoutMs: options.isolationTimeoutMs,
      intervalMs,
      startedAtMs,
    });
    this.demand = new DemandTable({
      countLive: () => this.table.listLiveIds().length,
      maxAgeMs: DEMAND_INTERVALS * intervalMs,
    });
  }

  /** Identifiers of the live entry instances, this one included. */
  listLiveIds(): string[] {
    return this.table.listLiveIds();
  }

  /** Why this instance must refuse requests; undefined if it need not. */
  findIsolationReason(nowMs: number): string | undefined {
    const logReadAtMs = this.#options.config.logReadAtMs();
    return this.isolation.findIsolationReason({ nowMs, logReadAtMs });
  }

  /** Records a leaving back end; a first report is sent to some peers at once. */
  noteLeaving(instanceId: string, nowMs: number): void {
    if (!this.leaving.isLeaving(instanceId, nowMs)) this.#changeCount += 1;
    this.leaving.record(instanceId, nowMs);
  }

  /** Answers another instance's exchange. */
  answer(message: ExchangeMessage): Effect.Effect<ExchangeAnswer> {
    return Effect.map(Clock.currentTimeMillis, (nowMs) => {
      this.#applyMessage(message, nowMs);
      const configUpdate = this.#options.config.createUpdate(message);
      const answer = this.#createMessage(message.sender.instanceId, nowMs);
      return configUpdate === undefined ? answer : { ...answer, configUpdate };
    });
  }

  /** Runs until the scope closes. */
  run(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const { intervalMs } = this.#options;
      const round = this.#runRound().pipe(
        Effect.andThen(Effect.sleep(intervalMs)),
      );
      yield* Effect.forkScoped(Effect.forever(round));
      yield* Effect.forkScoped(this.#sendUrgentChanges());
    });
  }

  /** Marks this instance as having left and informs some peers. */
  leave(): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.table.leave();
      return this.#exchangeWithSome(URGENT_PEERS);
    });
  }

  #runRound(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { config, listEntryInstances, random } = this.#options;
      const nowMs = yield* Clock.currentTimeMillis;
      this.table.noteListed(listEntryInstances(), nowMs);
      this.table.tick(nowMs);
      const logReadAtMs = config.logReadAtMs();
      const pingTargets = this.isolation.selectPeersToPing({
        nowMs,
        logReadAtMs,
      }, {
        present: this.table.present,
        random,
      });
      for (const peer of pingTargets) yield* Effect.forkChild(this.#ping(peer));
      const peers = new Map<string, Member>();
      const count = this.#countExchangePeers(pingTargets.length > 0);
      for (let index = 0; index < count; index++) {
        const peer = this.table.nextPeer(random);
        if (peer !== undefined) peers.set(peer.instanceId, peer);
      }
      for (const peer of peers.values()) {
        yield* Effect.forkChild(this.#checkPeer(peer));
      }
    });
  }

  #countExchangePeers(isPinging: boolean): number {
    this.#roundCount += 1;
    if (this.#options.config.lacksConfig()) return 1 + STARTUP_PEERS;
    if (!isPinging) return 1;
    return this.#roundCount % PING_ROUNDS_PER_EXCHANGE === 0 ? 1 : 0;
  }

  /** Pings a peer and records whether it answers. */
  #ping({ instanceId, adminAddress }: Member): Effect.Effect<void> {
    const { transport, intervalMs } = this.#options;
    const ping = transport.ping(adminAddress).pipe(
      Effect.andThen(Clock.currentTimeMillis),
      Effect.map((nowMs) => this.isolation.recordContact(instanceId, nowMs)),
    );
    return ping.pipe(Effect.timeoutOption(intervalMs / 2), Effect.ignore);
  }

  /** Exchanges with a peer; if it does not answer, asks others to probe it. */
  #checkPeer(peer: Member): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const isReached = yield* this.#exchangeWith(peer);
      if (isReached) return;
      const isReachedByOthers = yield* this.#askOthers(peer);
      if (isReachedByOthers) return;
      const nowMs = yield* Clock.currentTimeMillis;
      this.table.noteUnreachable(peer.instanceId, nowMs);
    });
  }

  #exchangeWith(peer: Member): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { transport, config, intervalMs } = this.#options;
      const sentAtMs = yield* Clock.currentTimeMillis;
      const message = this.#createMessage(peer.instanceId, sentAtMs);
      const answer = yield* transport.exchange(peer.adminAddress, message).pipe(
        Effect.timeoutOrElse({
          duration: intervalMs / 2,
          orElse: () => Effect.succeed(undefined),
        }),
        Effect.catch(() => Effect.succeed(undefined)),
      );
      if (answer === undefined) return false;
      this.#applyMessage(answer, yield* Clock.currentTimeMillis);
      if (answer.configUpdate !== undefined) {
        yield* config.adopt(answer.configUpdate);
      }
      this.#confirmation.recordAnswer(answer, this.table.members);
      const update = config.createUpdate(answer);
      if (update !== undefined) {
        yield* transport.offerConfig(peer.adminAddress, update).pipe(
          Effect.timeoutOption(intervalMs),
          Effect.ignore,
        );
      }
      return true;
    });
  }

  #askOthers(peer: Member): Effect.Effect<boolean> {
    const { transport, intervalMs, random } = this.#options;
    const others = this.table.present.filter(({ instanceId, state }) =>
      instanceId !== peer.instanceId && state === "alive"
    );
    const asked = sample(others, { count: PROBE_PEERS, random });
    const probes = asked.map(({ adminAddress }) =>
      transport.probe(adminAddress, peer.adminAddress).pipe(
        Effect.timeoutOrElse({
          duration: intervalMs,
          orElse: () => Effect.succeed(false),
        }),
        Effect.catch(() => Effect.succeed(false)),
      )
    );
    return Effect.all(probes, { concurrency: "unbounded" }).pipe(
      Effect.map((reached) => reached.includes(true)),
    );
  }

  /** Informs some peers at once of a new version or a leaving back end. */
  #sendUrgentChanges(): Effect.Effect<never> {
    let sentVersion = 0;
    let sentChangeCount = 0;
    const watch = Effect.suspend(() => {
      const version = this.#options.config.version();
      const isNew = version !== sentVersion ||
        this.#changeCount !== sentChangeCount;
      if (!isNew) return Effect.void;
      sentVersion = version;
      sentChangeCount = this.#changeCount;
      return this.#exchangeWithSome(URGENT_PEERS);
    });
    return Effect.forever(
      watch.pipe(Effect.andThen(Effect.sleep(WATCH_INTERVAL_MS))),
    );
  }

  #exchangeWithSome(count: number): Effect.Effect<void> {
    return Effect.suspend(() => {
      const { random } = this.#options;
      const peers = sample(this.table.present, { count, random });
      return Effect.forEach(peers, (peer) => this.#exchangeWith(peer), {
        concurrency: "unbounded",
        discard: true,
      });
    });
  }

  #createMessage(receiverId: string, nowMs: number): ExchangeMessage {
    const { config } = this.#options;
    const readAtMs = config.logReadAtMs();
    const timestamp = this.#options.clock?.next(nowMs);
    const suspicion = this.table.findSuspicion(receiverId);
    const recentUpdates = this.table.takeUpdates(MAX_UPDATES_SENT);
    return {
      sender: this.table.self,
      updates: suspicion === undefined
        ? recentUpdates
        : [suspicion, ...recentUpdates],
      configVersion: config.version(),
      configNextOffset: config.nextOffset(),
      ...(config.lacksConfig() ? { lacksConfig: true } : {}),
      demand: this.demand.createReport(),
      leaving: this.leaving.createReports(nowMs, MAX_LEAVING_SENT),
      ...(readAtMs === undefined ? {} : { logAgeMs: nowMs - readAtMs }),
      ...(timestamp === undefined ? {} : { clock: timestamp }),
    };
  }

  /** Records a peer's report; a first report is sent on at once. */
  #applyLeavingReport(
    instanceId: string,
    { ageMs, nowMs }: { readonly ageMs: number; readonly nowMs: number },
  ): void {
    if (ageMs >= LEAVING_MAX_AGE_MS) return;
    if (!this.leaving.isLeaving(instanceId, nowMs)) this.#changeCount += 1;
    this.leaving.record(instanceId, nowMs - ageMs);
  }

  #observeClock({ clock }: ExchangeMessage, nowMs: number): void {
    if (clock === undefined) return;
    if (clock.physicalMs - nowMs > MAX_CLOCK_AHEAD_MS) return;
    this.#options.clock?.observe(clock);
  }

  #applyMessage(message: ExchangeMessage, nowMs: number): void {
    const { instanceId } = message.sender;
    this.table.recordContact(message.sender, nowMs);
    this.table.merge(message.updates, nowMs);
    this.isolation.recordContact(instanceId, nowMs);
    this.#observeClock(message, nowMs);
    for (
      const { instanceId: id, state } of [message.sender, ...message.updates]
    ) {
      if (state === "left") this.isolation.recordDeparture(id);
    }
    this.demand.noteReport(instanceId, { report: message.demand, nowMs });
    for (const [leavingId, ageMs] of message.leaving) {
      this.#applyLeavingReport(leavingId, { ageMs, nowMs });
    }
  }
}
