import { expect } from "earl";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { describe, it } from "node:test";
import { PlatformCallCodec } from "./call_codec.ts";

const codec = new PlatformCallCodec();

describe("PlatformCallCodec.decodeResponse", () => {
  it("reads server-leaving as a flag, also when the header is repeated", () => {
    const isLeaving = (...values: string[]) =>
      decode(200, { "server-leaving": values }).isLeaving;
    expect([isLeaving("1"), isLeaving("1", "1"), isLeaving(" 1 ")])
      .toEqual([true, true, true]);
    expect([isLeaving(), isLeaving(""), isLeaving("0"), isLeaving("11")])
      .toEqual([false, false, false, false]);
    expect(isLeaving("x".repeat(10_000))).toEqual(false);
  });

  it("reads the back-off in milliseconds from retry-after", () => {
    const decodeRetryAfter = (...values: string[]) =>
      decode(503, { "retry-after": values });
    expect(decodeRetryAfter("2").backoffMs).toEqual(2_000);
    expect(decodeRetryAfter("0.25").backoffMs).toEqual(250);
    expect(decodeRetryAfter("0").backoffMs).toEqual(0);
    expect(decodeRetryAfter("99999999").backoffMs).toEqual(99_999_999_000);
    expect(decodeRetryAfter().backoffMs).toEqual(undefined);
    expect(decodeRetryAfter().malformed).toEqual(undefined);
  });

  it("reports a malformed retry-after, cut to a short text", () => {
    const malformed = (...values: string[]) => {
      const head = decode(503, { "retry-after": values });
      expect(head.backoffMs).toEqual(undefined);
      return head.malformed;
    };
    expect(malformed("-1")).toEqual("retry-after is -1, not in seconds");
    expect(malformed("")).toEqual("retry-after is , not in seconds");
    expect(malformed("soon")).toEqual("retry-after is soon, not in seconds");
    expect(malformed("1", "2")).toEqual("retry-after is 1,2, not in seconds");
    expect(malformed("1e9")).toEqual("retry-after is 1e9, not in seconds");
    expect(malformed("9".repeat(9_000))!.length < 80).toEqual(true);
  });

  it("ignores retry-after on statuses other than 503", () => {
    expect(decode(429, { "retry-after": ["2"] }).backoffMs).toEqual(undefined);
    expect(decode(200, { "retry-after": ["-"] }).malformed).toEqual(undefined);
  });
});

function decode(
  status: number,
  headers: Readonly<Record<string, readonly string[]>>,
) {
  const message = new IncomingMessage(new Socket());
  message.statusCode = status;
  for (const [name, values] of Object.entries(headers)) {
    for (const value of values) message.rawHeaders.push(name, value);
    if (values.length === 0) continue;
    message.headersDistinct[name] = [...values];
    message.headers[name] = values.join(", ");
  }
  return codec.decodeResponse(message);
}
