import type { EventEngine } from './event-engine.js'
import type { ObjectApi } from './object-api.js'

interface RegistrationOptions {
  /** Where it is reached, HOST:PORT. */
  readonly address?: string
  readonly state?: 'ready' | 'draining'
}

/** Writes an engine's entry, as the engines of the users' machines do by themselves. */
export function registerEngine (store: ObjectApi, { id, port }: EventEngine, { address = `127.0.0.1:${port}`, state = 'ready' }: RegistrationOptions = {}): void {
  store.put('servers', id, { service: 'helm', addr: address, zone: 'a', version: 'v1', slots: 8, state, cold_left_ms: 0, seq: 1 })
}
