import { Random } from '../../src/kernel/random.js'
import { failUnreachable } from '../../src/kernel/unreachable.js'
import type { PlatformFaults } from '../../stand-ins/platform/platform-faults.js'
import { huntSize } from './hunt-size.js'
import type { Trouble } from './trouble.js'

const TYPES: ReadonlyArray<Trouble['type']> = [
  'daemon killed', 'daemon replaced', 'daemon frozen', 'daemon drained', 'engine killed', 'engine frozen', 'engine cuts answers',
  'open connections silent', 'service silent', 'service cuts answers', 'platform', 'platform'
]
/** From this seed on regions may be partitioned too; lower seeds plan the same troubles as before partitions were added. */
const FIRST_PARTITION_SEED = 100
/** Time in ms added to a partition, so that it lasts beyond the 3.5 s after which daemons count as dead. */
const PARTITION_EXTRA = 4_000
const TYPES_WITH_PARTITION: typeof TYPES = [...TYPES, 'regions parted', 'regions parted', 'regions parted']
const PLATFORM_FAULTS: readonly PlatformFaults[] = [
  { outage: 'refused' }, { outage: 'reset' }, { outage: 'silent' }, { slowness: 300 }, { lostReplies: 0.3 },
  { delayedWrites: { share: 0.3, delay: 1_500 } }, { oldReads: { share: 0.5, lag: 1_500 } }, { silentWatches: true }, { instanceLag: 5_000 }
]
/** Limit on the daemons, and on the engines, that troubles of one hunt affect; half of each remain unaffected. */
const MAX_AFFECTED = { daemon: 2, engine: 2 }

/** Returns the troubles of a seed in order of time. The same seed always gives the same troubles. */
export function planTroubles (seed: number): readonly Trouble[] {
  const random = new Random(seed)
  const count = 2 + random.below(huntSize.maxTroubles - 1)
  const types = seed < FIRST_PARTITION_SEED ? TYPES : TYPES_WITH_PARTITION
  const planned: Trouble[] = []
  while (planned.length < count) {
    const trouble = planTrouble(types[random.below(types.length)]!, random)
    if (isAllowed(trouble, planned)) planned.push(trouble)
  }
  return planned.sort((a, b) => a.at - b.at)
}

function planTrouble (type: Trouble['type'], random: Random): Trouble {
  const at = random.below(huntSize.window)
  const lasting = 1_000 + random.below(huntSize.maxDuration - 1_000)
  switch (type) {
    case 'daemon killed':
    case 'daemon replaced':
    case 'daemon drained': return { type, at, daemon: random.below(huntSize.daemons) }
    case 'daemon frozen': return { type, at, lasting, daemon: random.below(huntSize.daemons) }
    case 'engine killed':
    case 'open connections silent': return { type, at, engine: random.below(huntSize.engines) }
    case 'engine frozen':
    case 'engine cuts answers': return { type, at, lasting, engine: random.below(huntSize.engines) }
    case 'service silent':
    case 'service cuts answers': return { type, at, lasting, service: random.below(huntSize.services) }
    case 'regions parted': return { type, at, lasting: lasting + PARTITION_EXTRA }
    case 'platform': return { type, at, lasting, faults: { ...PLATFORM_FAULTS[random.below(PLATFORM_FAULTS.length)], seed: random.below(1_000) } }
    default: return failUnreachable(type)
  }
}

/** Whether a trouble can join the plan: one per process, one of the platform, one partition, and half of the daemons and of the engines unaffected. */
function isAllowed (trouble: Trouble, planned: readonly Trouble[]): boolean {
  const isConflicting = (other: Trouble): boolean =>
    ('daemon' in trouble && 'daemon' in other && trouble.daemon === other.daemon) ||
    ('engine' in trouble && 'engine' in other && trouble.engine === other.engine) ||
    ('service' in trouble && 'service' in other && trouble.service === other.service) ||
    (trouble.type === other.type && (trouble.type === 'platform' || trouble.type === 'regions parted'))
  return !planned.some(isConflicting) &&
    planned.filter(other => 'daemon' in other).length < ('daemon' in trouble ? MAX_AFFECTED.daemon : Infinity) &&
    planned.filter(other => 'engine' in other).length < ('engine' in trouble ? MAX_AFFECTED.engine : Infinity)
}
