import { type Either, Left, Right } from "purify-ts";
import { SettingsRejected } from "./parse_entry_settings.ts";

/** Secrets of an entry instance, read from the environment only. */
export interface Secrets {
  readonly operatorToken: string;
  readonly viewerToken: string | undefined;
  readonly peerSecret: string;
}

const MIN_SECRET_LENGTH = 16;

/** Reads the secrets. Fails if a required one is missing or too short. */
export function readSecrets(
  environment: Readonly<Record<string, string | undefined>>,
): Either<SettingsRejected, Secrets> {
  const operatorToken = environment.CELERYTRAY_OPERATOR_TOKEN ?? "";
  const peerSecret = environment.CELERYTRAY_PEER_SECRET ?? "";
  const missing = [
    { name: "CELERYTRAY_OPERATOR_TOKEN", value: operatorToken },
    { name: "CELERYTRAY_PEER_SECRET", value: peerSecret },
  ].filter(({ value }) => value.length < MIN_SECRET_LENGTH);
  if (missing.length > 0) {
    const names = missing.map(({ name }) => name).join(", ");
    return Left(
      new SettingsRejected({
        message:
          `${names}: missing or too short; set a secret of at least ${MIN_SECRET_LENGTH} characters in the environment`,
      }),
    );
  }
  return Right({
    operatorToken,
    viewerToken: environment.CELERYTRAY_VIEWER_TOKEN,
    peerSecret,
  });
}
