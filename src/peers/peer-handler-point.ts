import { ExtensionPoint } from '../kernel/extension-point.js'
import type { PeerHandler } from './peer-handler.js'

/** Where parts say which messages of other daemons they handle. */
export const peerHandlerPoint = new ExtensionPoint<PeerHandler>('peer handlers')
