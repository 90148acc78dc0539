import { FrameCodec } from './frame-codec.js'

/** The codec of handshakes, and of frames in protocol version 2. */
export const plainCodec = new FrameCodec()
