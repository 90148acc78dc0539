import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RequestBody } from '../http/request-body.js'
import type { RequestMemory } from './request-memory.js'

/** A caller's request that is being answered. */
export interface CallerExchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly body: RequestBody
  readonly memory: RequestMemory
  /** Monotonic ms. */
  readonly arrived: number
}
