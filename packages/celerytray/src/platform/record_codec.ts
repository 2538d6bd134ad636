import { type Either, Left, Right } from "purify-ts";
import type { KeyedPage, KeyedRecord } from "../keyed_log/index.ts";

const LENGTH_BYTES = 4;
/** End of the partition and its first retained offset. */
const PAGE_HEAD_BYTES = 16;

/** A record with its length, its key's length, its key and its value. */
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

/** Decodes the answer to a read that began at an offset. */
export function decodeRecords(
  body: Buffer,
  fromOffset: number,
): Either<string, KeyedPage> {
  if (body.length < PAGE_HEAD_BYTES) {
    return Left(`The store's answer of ${body.length} bytes has no head`);
  }
  const records: KeyedRecord[] = [];
  let position = PAGE_HEAD_BYTES;
  let offset = fromOffset;
  while (position + LENGTH_BYTES <= body.length) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    if (end > body.length) return Left(`Record ${offset} is cut off`);
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
