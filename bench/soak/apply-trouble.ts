import { failUnreachable } from '../../src/kernel/unreachable.js'
import type { SoakFleet } from './soak-fleet.js'
import type { StoreTrouble } from './store-trouble.js'
import type { Trouble } from './trouble.js'

/** After a trouble, how long a daemon isn't held to its bounds, ms: the users' time to be in touch again. */
const IN_TOUCH = 3_000
const RESTART_PAUSE = 150
const SLOW = 60
const OPEN = { type: 'open' } as const

/** Brings one trouble on the fleet, and ends it. */
export async function applyTrouble (soak: SoakFleet, trouble: Trouble): Promise<void> {
  const { fleet } = soak
  const from = soak.now()
  switch (trouble.type) {
    case 'daemon killed': {
      await soak.restartDaemon(trouble.daemon, 'SIGKILL', trouble.lasting)
      return soak.noteHarm(trouble.daemon, from, soak.now() + IN_TOUCH)
    }
    case 'daemon ended': {
      await soak.restartDaemon(trouble.daemon, 'SIGTERM', RESTART_PAUSE)
      return soak.noteHarm(trouble.daemon, from, soak.now() + IN_TOUCH)
    }
    case 'daemon paused': {
      fleet.daemons[trouble.daemon]!.child!.signal('SIGSTOP')
      await wait(trouble.lasting)
      fleet.daemons[trouble.daemon]!.child!.signal('SIGCONT')
      return soak.noteHarm(trouble.daemon, from, soak.now() + IN_TOUCH)
    }
    case 'settings changed': return fleet.daemons[trouble.daemon]!.child!.signal('SIGHUP')
    case 'store way':
    case 'caller way': {
      const way = trouble.type === 'store way' ? soak.storeWays.get(trouble.daemon)! : soak.callerWays[trouble.daemon]!
      way.setMode(trouble.mode)
      await wait(trouble.lasting)
      way.setMode(OPEN)
      return soak.noteHarm(trouble.daemon, from, soak.now() + IN_TOUCH)
    }
    case 'engine way': {
      const way = soak.engineWays.get(`i-${trouble.engine}`)!
      way.setMode(trouble.mode)
      await wait(trouble.lasting)
      return way.setMode(OPEN)
    }
    case 'engine crashed': return await soak.restartEngine(trouble.engine, trouble.lasting)
    case 'engine leaves': return soak.leaveEngine(trouble.engine)
    case 'streams break': {
      fleet.engines[trouble.engine]!.breakPoints.push(...Array.from({ length: trouble.count }, (_, i) => i * 3))
      return
    }
    case 'store': {
      applyStoreTrouble(soak, trouble.trouble)
      await wait(trouble.lasting)
      fleet.store.faults = {}
      return soak.noteHarm(undefined, from, soak.now() + IN_TOUCH)
    }
    case 'configuration': return soak.putConfiguration()
    default: return failUnreachable(trouble)
  }
}

function applyStoreTrouble ({ fleet: { store } }: SoakFleet, trouble: StoreTrouble): void {
  switch (trouble) {
    case 'busy':
    case 'limited':
    case 'silent': { store.faults = { down: trouble }; return }
    case 'slow': { store.faults = { delay: SLOW }; return }
    case 'loses replies': { store.faults = { losesReplies: true }; return }
    case 'forgets history': { store.faults = { oldestRevision: store.objects.revision + 1 }; return }
    default: return failUnreachable(trouble)
  }
}

async function wait (time: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, time))
}
