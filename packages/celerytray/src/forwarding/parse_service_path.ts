import { type Either, Left, Right } from "purify-ts";
import { CallerError } from "./caller_error.ts";

/** A plain service and the path requested from it. */
export interface ServicePath {
  readonly serviceName: string;
  /** Path and query below /services/NAME. */
  readonly path: string;
}

const ABSOLUTE_FORM = /^https?:\/\/[^/?#]*/i;
const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Converts a request target to origin form. */
export function toOriginForm(target: string): string {
  return target.replace(ABSOLUTE_FORM, "") || "/";
}

/**
 * Splits a request target below /services/. Rejects paths that two servers may
 * interpret differently, so that no request reaches outside its service.
 */
export function parseServicePath(
  target: string,
): Either<CallerError, ServicePath> {
  const match = SERVICE_PATH.exec(toOriginForm(target));
  if (match === null) return Left(createPathError());
  const [, serviceName, path = "/", query = ""] = match;
  if (!isUnambiguousPath(path)) return Left(createPathError());
  return Right({ serviceName: serviceName!, path: `${path}${query}` });
}

function isUnambiguousPath(path: string): boolean {
  if (/%2f|%5c|%00|\\|#/i.test(path)) return false;
  const segments = path.slice(1).split("/");
  return segments.every((segment, index) => {
    const isLast = index === segments.length - 1;
    if (segment === "") return isLast;
    const decoded = segment.replace(/%2e/gi, ".");
    return decoded !== "." && decoded !== "..";
  });
}

function createPathError(): CallerError {
  return new CallerError({
    status: 400,
    type: "invalid_request_error",
    code: "invalid_path",
    message:
      "The path is ambiguous; use /services/NAME/... without empty, dot or encoded-slash segments",
    outcome: "not-run",
  });
}
