import type { EventEngine } from './event-engine.js'
import type { ObjectApi } from './object-api.js'

interface RegistrationOptions {
  /** Where the engine is reached, HOST:PORT. */
  readonly address?: string
  readonly state?: 'ready' | 'draining'
  readonly service?: string
}

/** Writes an engine's object to the store, as the users' engines do themselves. */
export function registerEngine (store: Pick<ObjectApi, 'put'>, { id, port, version, startedAt }: Pick<EventEngine, 'id' | 'port' | 'version' | 'startedAt'>, { address = `127.0.0.1:${port}`, state = 'ready', service = 'helm' }: RegistrationOptions = {}): void {
  store.put('servers', id, { service, addr: address, zone: 'a', version, slots: 8, state, cold_left_ms: 0, seq: 1, born: startedAt })
}
