import { FrameCodec } from './frame-codec.js'

/**
 * What the frames of a session from version 3 on are written in: common names of fields take one byte. The list is
 * part of that version; a name that is new is sent as it is, and goes into the list of the next version alone.
 */
export const shortCodec = new FrameCodec([
  't', 'm', 'type', 'ping', 'n', 'i', 'h', 'u', 'number', 'counts', 'views', 'server', 'state', 'online', 'batch', 'limit',
  'fencing', 'body', 'version', 'parts', 'host', 'port', 'id'
])
