import { FrameReader } from '../src/peers/frame-reader.js'
import { plainCodec } from '../src/peers/plain-codec.js'

/** The name that a daemon gives itself in the first frame of a connection that it opens to another; undefined for any other bytes. */
export function readHello (bytes: Buffer): string | undefined {
  const reader = new FrameReader()
  reader.push(bytes)
  const frame = reader.take()
  if (frame.err || frame.val === undefined) return undefined
  const hello = plainCodec.decode(frame.val)
  return hello.ok && typeof hello.val.from === 'string' ? hello.val.from : undefined
}
