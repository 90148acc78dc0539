import type { EventEngine } from './event-engine.js'
import type { ObjectApi } from './object-api.js'

/** Writes an engine's entry, as the engines of the users' machines do by themselves. */
export function registerEngine (store: ObjectApi, { id, port }: EventEngine): void {
  store.put('servers', id, { service: 'helm', addr: `127.0.0.1:${port}`, zone: 'a', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 1 })
}
