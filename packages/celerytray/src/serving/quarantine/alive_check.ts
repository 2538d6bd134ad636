import { Deferred, Effect } from "effect";

/** An instance that may have crashed. */
export interface CheckedInstance {
  readonly instanceId: string;
  /** IP:PORT. */
  readonly address: string;
}

/** Time within which an instance that has not crashed answers. */
const ANSWER_TIMEOUT_MS = 150;

/**
 * Tells whether an instance that lost a request is alive: its replica may have
 * been closed, or only the connection was lost. One that crashed takes longer
 * to start again than to be asked.
 */
export class AliveCheck {
  readonly #probe: (instance: CheckedInstance) => Effect.Effect<boolean>;
  /** Probes under way, which all losses at an instance share. */
  readonly #underWay = new Map<string, Deferred.Deferred<boolean>>();

  /** `probe` succeeds with whether the instance answered. */
  constructor(
    { probe }: {
      readonly probe: (instance: CheckedInstance) => Effect.Effect<boolean>;
    },
  ) {
    this.#probe = probe;
  }

  isAlive(instance: CheckedInstance): Effect.Effect<boolean> {
    const { instanceId } = instance;
    return Effect.suspend(() => {
      const underWay = this.#underWay.get(instanceId);
      if (underWay !== undefined) return Deferred.await(underWay);
      const result = Deferred.makeUnsafe<boolean>();
      this.#underWay.set(instanceId, result);
      let isAlive = false;
      return this.#probe(instance).pipe(
        Effect.timeoutOrElse({
          duration: ANSWER_TIMEOUT_MS,
          orElse: () => Effect.succeed(false),
        }),
        Effect.tap((isAnswered) =>
          Effect.sync(() => {
            isAlive = isAnswered;
          })
        ),
        Effect.ensuring(Effect.sync(() => {
          this.#underWay.delete(instanceId);
          Deferred.doneUnsafe(result, Effect.succeed(isAlive));
        })),
      );
    });
  }
}
