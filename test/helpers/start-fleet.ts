import type { FleetEngine } from '../../harness/fleet-engine.js'
import type { FleetStore } from '../../harness/fleet-store.js'
import type { MachinesFleet } from '../../harness/machines-fleet.js'
import { createWireConfiguration } from './create-wire-configuration.js'

/** Starts a fleet of processes; resolves once all daemons see each other. `configuration` is added to the operator's. */
export async function startFleet<E extends FleetEngine, S extends FleetStore> (fleet: MachinesFleet<E, S>, { daemons, engines, configuration = {} }: { readonly daemons: number, readonly engines: readonly E[], readonly configuration?: object }): Promise<MachinesFleet<E, S>> {
  const started = fleet.start({ daemons, engines })
  await fleet.waitUntil('the store runs', () => fleet.store.port > 0)
  fleet.store.put('config', 'main', createWireConfiguration(1, configuration))
  await started
  await fleet.waitUntil('all daemons see each other', async () => (await Promise.all(fleet.daemons.map(async daemon => await fleet.listAddresses(daemon)))).every(addresses => addresses.length === daemons))
  return fleet
}
