import { FrameCodec } from './frame-codec.js'

/**
 * The codec of frames from protocol version 3 on: common field names take one byte. The list is part of that version and must
 * not change; a new name is sent as text until the next version.
 */
export const shortCodec = new FrameCodec([
  't', 'm', 'type', 'ping', 'n', 'i', 'h', 'u', 'number', 'counts', 'views', 'server', 'state', 'online', 'batch', 'limit',
  'fencing', 'body', 'version', 'parts', 'host', 'port', 'id'
])
