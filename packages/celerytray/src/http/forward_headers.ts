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
const OWN_PREFIX = "celerytray-";

/** Whether a header, in lower case, concerns one connection only. */
export function isHopByHopHeader(name: string): boolean {
  return HOP_BY_HOP_HEADERS.has(name);
}

/** Request headers to pass on: no credentials and none of one connection. */
export function selectRequestHeaders(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  return selectHeaders(headers, (name) => !CREDENTIAL_HEADERS.has(name));
}

/** Answer headers to pass on: none of one connection. */
export function selectAnswerHeaders(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  return selectHeaders(headers, () => true);
}

function selectHeaders(
  headers: IncomingHttpHeaders,
  isWanted: (name: string) => boolean,
): OutgoingHttpHeaders {
  const named = (headers.connection ?? "").toLowerCase().split(",");
  const dropped = new Set(named.map((name) => name.trim()));
  const selected: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    const isDropped = HOP_BY_HOP_HEADERS.has(name) ||
      REPLACED_HEADERS.has(name) || dropped.has(name) ||
      name.startsWith(OWN_PREFIX);
    if (!isDropped && isWanted(name)) selected[name] = value;
  }
  return selected;
}
