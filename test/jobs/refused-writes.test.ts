import 'reflect-metadata'
import test from 'ava'
import { JobFleet } from '../helpers/job-fleet.js'
import { RelayedStores } from '../helpers/relayed-stores.js'

const { items, names } = JobFleet
const JOB = 'j'
const OWNER = names[0]!
const READER = names[4]!
const LONG = 1_000_000
/**
 * How long after an item has ended its result is listed, ms: where writes are refused, four searches for a peer a second apart, as each asks
 * three of four; where they aren't answered, the timeouts of a write, of which each second attempt asks three peers, and the delay before the next write.
 */
const BOUNDS = { limited: 4_500, busy: 4_500, silent: 9_500 } as const
/** Time between the listing of a result and the end of the next item, ms. */
const PAUSE = 2_000

interface Row {
  readonly title: string
  readonly isRefused: (name: string) => boolean
}

const rows: readonly Row[] = [
  { title: 'its owner', isRefused: name => name === OWNER },
  { title: 'its owner and the next two', isRefused: name => names.indexOf(name) < 3 },
  { title: 'all but the reader', isRefused: name => name !== READER }
]

async function start (type: keyof typeof BOUNDS, { isRefused }: Row, kind?: string): Promise<JobFleet> {
  const fleet = new JobFleet()
  const stores = new RelayedStores(names, fleet.time)
  fleet.openStore = (name, clock) => stores.open(name, clock)
  await fleet.start()
  const { owner } = fleet.daemons.get(OWNER)!
  void owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
  await fleet.time.advance(2_000)
  stores.store.troubles.push({ type, from: fleet.time.now(), to: LONG, hits: isRefused, ...kind !== undefined && { kind } })
  return fleet
}

async function countListed ({ daemons, time }: JobFleet): Promise<number | undefined> {
  let listed: number | undefined
  void daemons.get(READER)!.reader.readResults(JOB, 0, 0).then(page => { listed = page.ok ? page.val.results.length : undefined })
  await time.advance(500)
  return listed
}

// Guards against items that have ended and are never listed, because the store refuses the writes of their owner and serves other daemons.
for (const type of ['limited', 'busy', 'silent'] as const) {
  for (const kind of [undefined, 'job-results']) {
    for (const row of rows) {
      test(`results of a job are stored while the store is ${type} to ${row.title} for ${kind ?? 'all calls'}`, async t => {
        const fleet = await start(type, row, kind)
        for (const [i, { id }] of items.entries()) {
          fleet.daemons.get(OWNER)!.finish(id)
          await fleet.time.advance(BOUNDS[type])
          t.is(await countListed(fleet), i + 1, `${i + 1} items have ended`)
          await fleet.time.advance(PAUSE)
        }
      })
    }
  }
}
