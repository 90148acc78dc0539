import type { FleetEngine } from '../../harness/fleet-engine.js'
import { MachinesFleet } from '../../harness/machines-fleet.js'
import { ObjectApi } from '../../stand-ins/machines/object-api.js'
import { startFleet } from './start-fleet.js'

type Options = Omit<ConstructorParameters<typeof MachinesFleet<FleetEngine, ObjectApi>>[0], 'store'>

/** Starts a fleet with a store in this process; resolves once all daemons see each other. `configuration` is added to the operator's. */
export async function startMachines<E extends FleetEngine> (daemons: number, engines: readonly E[], options: Options = {}, configuration: object = {}): Promise<MachinesFleet<E>> {
  return await startFleet(new MachinesFleet<E>({ ...options, store: new ObjectApi() }), { daemons, engines, configuration })
}
