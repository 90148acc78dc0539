import { request } from 'undici'
import type { Fleet } from '../../harness/fleet.js'
import { failUnreachable } from '../../src/kernel/unreachable.js'
import type { EngineFaults } from '../../stand-ins/engine/engine-faults.js'
import type { ServiceFaults } from '../../stand-ins/service/service-faults.js'
import type { HuntFleet } from './hunt-fleet.js'
import type { Trouble } from './trouble.js'

/** Time in ms until the platform's instance list no longer has a killed process. */
const INSTANCE_LIST_LAG = 2_000
const CUT_AFTER_TOKENS = 5

type Node = Fleet['daemons'][number]

/** Applies a trouble to the fleet; resolves once it is over. */
export async function applyTrouble (hunt: HuntFleet, trouble: Trouble): Promise<void> {
  const { fleet } = hunt
  switch (trouble.type) {
    case 'daemon killed': return await endProcess(fleet, `entry-${trouble.daemon}`)
    case 'daemon replaced':
      await endProcess(fleet, `entry-${trouble.daemon}`)
      return await hunt.addDaemon(trouble.daemon)
    case 'daemon frozen': return await pauseProcess(findNode(fleet.daemons, `entry-${trouble.daemon}`), trouble.lasting)
    case 'daemon drained': return await drain(fleet, `entry-${trouble.daemon}`)
    case 'engine killed': return await endProcess(fleet, `engine-${trouble.engine}`)
    case 'engine frozen': return await pauseProcess(findNode(fleet.servers, `engine-${trouble.engine}`), trouble.lasting)
    case 'engine cuts answers': return await setFaults(findNode(fleet.servers, `engine-${trouble.engine}`), { cutAfter: CUT_AFTER_TOKENS, share: 0.5 }, trouble.lasting)
    case 'open connections silent': return await setFaults(findNode(fleet.servers, `engine-${trouble.engine}`), { silenceOpen: 100 }, 0)
    case 'service silent': return await setFaults(findNode(fleet.servers, `booking-${trouble.service}`), { silence: true }, trouble.lasting)
    case 'service cuts answers': return await setFaults(findNode(fleet.servers, `booking-${trouble.service}`), { cut: true }, trouble.lasting)
    case 'regions parted':
      fleet.setPartitioned(true)
      await pause(trouble.lasting)
      return fleet.setPartitioned(false)
    case 'platform':
      await fleet.setPlatformFaults(trouble.faults)
      await pause(trouble.lasting)
      return await fleet.setPlatformFaults({})
    default: return failUnreachable(trouble)
  }
}

function findNode (nodes: readonly Node[], name: string): Node {
  return nodes.findLast(({ instance }) => instance.name === name)!
}

async function endProcess (fleet: Fleet, name: string): Promise<void> {
  const { child } = findNode([...fleet.daemons, ...fleet.servers], name)
  child.signal('SIGKILL')
  await child.waitForExit()
  await pause(INSTANCE_LIST_LAG)
  await fleet.unregister(name)
}

async function drain (fleet: Fleet, name: string): Promise<void> {
  const { child } = findNode(fleet.daemons, name)
  child.signal('SIGTERM')
  await child.waitForExit()
  await fleet.unregister(name)
}

async function pauseProcess ({ child }: Node, lasting: number): Promise<void> {
  child.signal('SIGSTOP')
  await pause(lasting)
  child.signal('SIGCONT')
}

async function setFaults ({ instance }: Node, faults: EngineFaults & ServiceFaults, lasting: number): Promise<void> {
  const set = async (body: object): Promise<void> => {
    await (await request(`http://${instance.host}:${instance.port}/control/faults`, { method: 'POST', body: JSON.stringify(body) })).body.dump()
  }
  await set(faults)
  await pause(lasting)
  if (lasting > 0) await set({})
}

async function pause (time: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, time))
}
