const LENGTH_BYTES = 4

/** Encodes a frame: the length of its body as 32 bits, big-endian, then the body. */
export function encodeFrame (...parts: readonly Uint8Array[]): Buffer {
  const length = parts.reduce((sum, part) => sum + part.length, 0)
  const header = Buffer.allocUnsafe(LENGTH_BYTES)
  header.writeUInt32BE(length, 0)
  return Buffer.concat([header, ...parts], LENGTH_BYTES + length)
}
