import type { OpenedExchange } from './opened-exchange.js'

/** A request that is being sent to a server. */
export interface StartedSend { readonly server: string, readonly opened: Promise<OpenedExchange> }
