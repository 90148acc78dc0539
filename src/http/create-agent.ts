import { buildConnector, type Agent } from 'undici'
import { BoundedAgent } from './bounded-agent.js'
import { watchResets } from './watch-resets.js'

interface AgentOptions extends Omit<Agent.Options, 'connect'> {
  readonly connect?: buildConnector.connector
  /** Longest time to establish a connection, ms; used unless `connect` is given. */
  readonly connectTimeout?: number
  /** Called with the address when a peer resets a connection. */
  readonly onReset?: (address: string) => void
}

/**
 * Creates an undici agent that fails an answer whose connection is reset, however the answer is framed, and one of interim heads or tiny
 * chunks without end. Answers are read by such agents only.
 */
export function createAgent ({ connectTimeout, connect = buildConnector({ timeout: connectTimeout }), onReset, ...options }: AgentOptions = {}): Agent {
  return new BoundedAgent({ ...options, connect: watchResets(connect, onReset) })
}
