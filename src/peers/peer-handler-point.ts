import { ExtensionPoint } from '../kernel/extension-point.js'
import type { PeerHandler } from './peer-handler.js'

/** The extension point at which parts register handlers for messages from other daemons. */
export const peerHandlerPoint = new ExtensionPoint<PeerHandler>('peer handlers')
