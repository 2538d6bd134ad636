import { type Either, Left, Right } from "purify-ts";
import type { KeyedPage, KeyedRecord } from "../keyed_log/index.ts";

const LENGTH_BYTES = 4;
/** End offset of the partition and its first retained offset. */
const PAGE_HEADER_BYTES = 16;

/** Encodes a record: its length, the key's length, the key and the value. */
export function encodeKeyedRecord(key: string, value?: Buffer): Buffer {
  const keyBytes = Buffer.from(key, "utf8");
  const content = Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    value ?? Buffer.alloc(0),
  ]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

/** Decodes the response to a read that began at an offset. */
export function decodeRecords(
  body: Buffer,
  fromOffset: number,
): Either<string, KeyedPage> {
  if (body.length < PAGE_HEADER_BYTES) {
    return Left(
      `The store's response of ${body.length} bytes is shorter than its header`,
    );
  }
  const records: KeyedRecord[] = [];
  let position = PAGE_HEADER_BYTES;
  let offset = fromOffset;
  while (position + LENGTH_BYTES <= body.length) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    if (end > body.length) return Left(`Record ${offset} is truncated`);
    records.push(decodeContent(body.subarray(start, end), offset));
    position = end;
    offset += 1;
  }
  return Right({ records, nextOffset: offset });
}

function decodeContent(content: Buffer, offset: number): KeyedRecord {
  const keyEnd = 1 + (content[0] ?? 0);
  const key = content.subarray(1, keyEnd).toString("utf8");
  const value = content.subarray(keyEnd);
  return value.length === 0 ? { key, offset } : { key, offset, value };
}
