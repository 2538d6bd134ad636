import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
const REPLACED_HEADERS = new Set(["content-length", "host", "x-request-id"]);
const CREDENTIAL_HEADERS = new Set(["authorization", "cookie"]);
const INTERNAL_PREFIX = "celerytray-";

/** Whether a header name, in lower case, is a hop-by-hop header. */
export function isHopByHopHeader(name: string): boolean {
  return HOP_BY_HOP_HEADERS.has(name);
}

/**
 * Selects the request headers to forward: no credentials, no hop-by-hop
 * headers.
 */
export function selectRequestHeaders(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  return selectHeaders(headers, (name) => !CREDENTIAL_HEADERS.has(name));
}

/** Selects the response headers to forward: no hop-by-hop headers. */
export function selectResponseHeaders(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  return selectHeaders(headers, () => true);
}

function selectHeaders(
  headers: IncomingHttpHeaders,
  isAllowed: (name: string) => boolean,
): OutgoingHttpHeaders {
  const connectionOptions = (headers.connection ?? "").toLowerCase().split(",");
  const dropped = new Set(connectionOptions.map((name) => name.trim()));
  const selected: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    const isDropped = HOP_BY_HOP_HEADERS.has(name) ||
      REPLACED_HEADERS.has(name) || dropped.has(name) ||
      name.startsWith(INTERNAL_PREFIX);
    if (!isDropped && isAllowed(name)) selected[name] = value;
  }
  return selected;
}
