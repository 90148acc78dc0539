import { FrameReader } from '../src/peers/frame-reader.js'
import { plainCodec } from '../src/peers/plain-codec.js'

/** Reads the name of the daemon that opened a connection from the connection's first frame; undefined for any other bytes. */
export function readHello (bytes: Buffer): string | undefined {
  const reader = new FrameReader()
  reader.push(bytes)
  const frame = reader.take()
  if (frame.err || frame.val === undefined) return undefined
  const hello = plainCodec.decode(frame.val)
  return hello.ok && typeof hello.val.from === 'string' ? hello.val.from : undefined
}
