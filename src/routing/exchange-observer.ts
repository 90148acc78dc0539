import type { ServerRequest } from './server-request.js'

/** Hears of each request sent to a backend server, as it begins and as it ends. */
export interface ExchangeObserver {
  onBegin (request: ServerRequest, server: string): void
  onEnd (request: ServerRequest, server: string, outcome: 'answered' | 'failed' | 'abandoned'): void
}
