import { FrameCodec } from './frame-codec.js'

/** What handshakes are written in, and the frames of a session of version 2. */
export const plainCodec = new FrameCodec()
