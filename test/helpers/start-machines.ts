import type { FleetEngine } from '../../harness/fleet-engine.js'
import { MachinesFleet } from '../../harness/machines-fleet.js'
import { createWireConfiguration } from './create-wire-configuration.js'

/** Starts a fleet of processes; resolves once all daemons see each other. `configuration` is added to the operator's. */
export async function startMachines<E extends FleetEngine> (daemons: number, engines: readonly E[], options?: ConstructorParameters<typeof MachinesFleet>[0], configuration: object = {}): Promise<MachinesFleet<E>> {
  const fleet = new MachinesFleet<E>(options)
  const started = fleet.start({ daemons, engines })
  await fleet.waitUntil('the store runs', () => fleet.store.port > 0)
  fleet.store.put('config', 'main', createWireConfiguration(1, configuration))
  await started
  await fleet.waitUntil('all daemons see each other', async () => (await Promise.all(fleet.daemons.map(async daemon => await fleet.listAddresses(daemon)))).every(addresses => addresses.length === daemons))
  return fleet
}
