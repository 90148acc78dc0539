import 'reflect-metadata'
import test from 'ava'
import { rankOwners } from '../../src/coordination/rank-owners.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
const OWNER = names[0]!
const SUCCESSORS = rankOwners(JOB, names.slice(1))
/** The owner lies in a failure domain of its own; the others in three, of which the first in rank has two. */
const DOMAINS: Readonly<Record<string, string>> = { [OWNER]: 'o', [SUCCESSORS[0]!]: 'a', [SUCCESSORS[1]!]: 'a', [SUCCESSORS[2]!]: 'b', [SUCCESSORS[3]!]: 'c' }
/** Time until a process that has ended is no member, two checks for jobs without an owner, and a takeover, ms. */
const DETECTION = 2_500
const CHECKS = 1_000
const TAKEOVER = 500
/** How long a daemon leaves a job to each of the first three in rank, and to each later one, ms. */
const RANK_WAIT = 4_000
const LATER_RANK_WAIT = 1_000
/** How long the job then keeps its one owner, ms. */
const HOLD = 5_000

interface Row {
  readonly title: string
  /** The daemons that can't take the job over. */
  readonly unable: readonly string[]
  /** How long the job is left to them, ms. */
  readonly wait: number
  readonly domains?: boolean
}

const rows: readonly Row[] = [
  { title: 'the first', unable: SUCCESSORS.slice(0, 1), wait: RANK_WAIT },
  { title: 'the first two', unable: SUCCESSORS.slice(0, 2), wait: 2 * RANK_WAIT },
  { title: 'the first three', unable: SUCCESSORS.slice(0, 3), wait: 2 * RANK_WAIT + LATER_RANK_WAIT },
  { title: 'a failure domain', unable: SUCCESSORS.slice(0, 2), wait: RANK_WAIT, domains: true },
  { title: 'two of three failure domains', unable: SUCCESSORS.slice(0, 3), wait: 2 * RANK_WAIT, domains: true },
  { title: 'none', unable: [], wait: 0 }
]

type Cause = 'limited' | 'unavailable' | 'calls hang'

async function start ({ unable, domains = false }: Row, cause: Cause): Promise<JobFleet> {
  const fleet = new JobFleet()
  if (domains) fleet.findDomain = name => DOMAINS[name]!
  const open = fleet.openStore
  fleet.openStore = (name, clock) => {
    const store = open(name, clock)
    const get: typeof store.get = async (...args) => cause === 'calls hang' && unable.includes(name) ? await new Promise<never>(() => {}) : await store.get(...args)
    return new Proxy(store, { get: (target, key) => key === 'get' ? get : Reflect.get(target, key) as unknown })
  }
  await fleet.start()
  await fleet.daemons.get(OWNER)!.owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
  await fleet.time.advance(1_000)
  if (cause !== 'calls hang') fleet.storeFault = daemon => unable.includes(daemon) ? { fail: cause === 'limited' ? { type: 'limited', retryAfter: 100 } : { type: 'unavailable', reason: 'cut off' } } : 'none'
  return fleet
}

function listOwners (fleet: JobFleet): readonly string[] {
  return [...fleet.daemons.values()].filter(({ clock, owner }) => !clock.isPaused && owner.find(JOB) !== undefined).map(({ name }) => name)
}

// Guards against a job that each daemon leaves to the first in rank, of which none can take it over.
for (const cause of ['limited', 'unavailable', 'calls hang'] as const) {
  for (const row of rows) {
    test(`a job whose owner has ended is taken over by the next in rank: ${row.title} can't (${cause})`, async t => {
      const fleet = await start(row, cause)
      fleet.kill(OWNER)
      const bound = DETECTION + CHECKS + row.wait + TAKEOVER
      for (const time of [bound, HOLD]) {
        await fleet.time.advance(time)
        const owners = listOwners(fleet)
        t.is(owners.length, 1, `owners ${time} ms later: ${owners.join(' and ') || 'none'}`)
        t.false(row.unable.includes(owners[0]!))
      }
    })
  }
}
