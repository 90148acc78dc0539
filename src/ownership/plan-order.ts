import type { Placement } from '../config/placement.js'
import type { ServerOrder } from './server-order.js'
import type { ServerState } from './server-state.js'

/**
 * Returns the next order that brings a server closer to its placement, or undefined if there is none now. It compares
 * the desired state with the reported one, so that a lost order, a lost reply or another owner's order is corrected
 * whenever the server is read again. One model loads at a time, because the placement may change meanwhile and the
 * weight store is slow.
 */
export function planOrder ({ models, role }: Pick<Placement, 'models' | 'role'>, state: ServerState): ServerOrder | undefined {
  if (role !== undefined && state.role !== role) return { kind: 'role', role }
  const superfluous = state.models.find(({ model }) => !models.includes(model))
  if (superfluous !== undefined) return { kind: 'unload', model: superfluous.model }
  if (state.models.some(({ state }) => state === 'loading')) return undefined
  const missing = models.find(model => state.models.every(present => present.model !== model))
  return missing === undefined ? undefined : { kind: 'load', model: missing }
}
