import type { Fleet } from '../harness/fleet.js'
import { failUnreachable } from '../src/kernel/unreachable.js'
import type { Fault } from './fault.js'

/** Time in ms until the platform's instance list no longer has a killed process. */
const INSTANCE_LIST_LAG = 3_000

/** Applies a fault to the fleet. Returns a function that ends the fault, or does nothing if it is permanent or ends on its own. */
export async function applyFault (fleet: Fleet, fault: Fault): Promise<() => Promise<void>> {
  const noop = async (): Promise<void> => {}
  const kill = (name: string): void => {
    [...fleet.daemons, ...fleet.servers].find(({ instance }) => instance.name === name)!.child.signal('SIGKILL')
    setTimeout(() => { void fleet.unregister(name).catch(() => {}) }, INSTANCE_LIST_LAG)
  }
  switch (fault.type) {
    case 'engine killed':
      kill('engine-0')
      return noop
    case 'half the engines killed':
      for (const { instance } of fleet.servers.slice(0, fleet.servers.length / 2)) kill(instance.name)
      return noop
    case 'daemon killed':
      kill('entry-0')
      return noop
    case 'engine frozen': {
      const { child } = fleet.servers[0]!
      child.signal('SIGSTOP')
      return async () => child.signal('SIGCONT')
    }
    case 'platform out': {
      await fleet.setPlatformFaults({ outage: 'silent' })
      setTimeout(() => { void fleet.setPlatformFaults({}).catch(() => {}) }, fault.lasting)
      return noop
    }
    default: return failUnreachable(fault)
  }
}
