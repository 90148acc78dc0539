const LENGTH_BYTES = 4

/** One frame: the length of its body as 32 bits, big-endian, then the body. */
export function encodeFrame (...parts: readonly Uint8Array[]): Buffer {
  const length = parts.reduce((sum, part) => sum + part.length, 0)
  const head = Buffer.allocUnsafe(LENGTH_BYTES)
  head.writeUInt32BE(length, 0)
  return Buffer.concat([head, ...parts], LENGTH_BYTES + length)
}
