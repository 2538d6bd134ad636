import type { ConfigSet, Organisation } from "@celerytray/schema";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { CallerError } from "./caller_error.ts";

/** An authenticated caller's organisation. */
export interface AuthenticatedCaller {
  readonly organisationName: string;
  readonly organisation: Organisation;
}

const callersByConfig = new WeakMap<
  ConfigSet,
  ReadonlyMap<string, AuthenticatedCaller>
>();

/**
 * Finds the organisation of a request's bearer key. Keys are looked up by
 * digest, so that the response time reveals nothing about a stored key.
 */
export function authenticate(
  request: IncomingMessage,
  config: ConfigSet,
): Either<CallerError, AuthenticatedCaller> {
  const header = request.headers.authorization ?? "";
  const key = /^Bearer (.+)$/i.exec(header)?.[1];
  if (key === undefined) {
    return Left(createKeyError("No API key; send Authorization: Bearer KEY"));
  }
  const digest = createHash("sha256").update(key).digest("hex");
  const caller = findCallers(config).get(digest);
  if (caller === undefined) {
    return Left(
      createKeyError("The API key is unknown; ask your operator for a key"),
    );
  }
  return Right(caller);
}

function findCallers(
  config: ConfigSet,
): ReadonlyMap<string, AuthenticatedCaller> {
  const known = callersByConfig.get(config);
  if (known !== undefined) return known;
  const callers = new Map<string, AuthenticatedCaller>();
  for (const [name, organisation] of Object.entries(config.organisations)) {
    for (const digest of organisation.apiKeySha256) {
      callers.set(digest, { organisationName: name, organisation });
    }
  }
  callersByConfig.set(config, callers);
  return callers;
}

function createKeyError(message: string): CallerError {
  return new CallerError({
    status: 401,
    type: "authentication_error",
    code: "invalid_api_key",
    message,
    outcome: "not-run",
  });
}
