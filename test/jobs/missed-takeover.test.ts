import 'reflect-metadata'
import test from 'ava'
import { rankOwners } from '../../src/coordination/rank-owners.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items: ITEMS, names: NAMES } = JobFleet
const [FIRST, SECOND] = rankOwners('j', NAMES) as [string, string]
/** Pause of the owner, and the time that daemons have after it to settle, ms. */
const PAUSE = 12_000
const SETTLE = 5_000

for (const offset of [-1_500, -500, 0, 100, 200, 300, 400, 700]) {
  // Guards against an owner that missed a takeover, and takes itself for the only one because the daemon that took the job over has ended.
  test(`an owner that was paused lists what a daemon listed that took its job over and restarts ${offset} ms after its return`, async t => {
    const fleet = new JobFleet()
    await fleet.start()
    await fleet.daemons.get(FIRST)!.owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
    await fleet.time.advance(1_000)
    await fleet.pause(FIRST, PAUSE, true)
    await fleet.time.advance(9_000)
    fleet.daemons.get(SECOND)!.finish(ITEMS[0]!.id)
    await fleet.time.advance(1_400)
    const seen = await readAll(fleet, [SECOND])
    t.deepEqual(seen.map(({ length }) => length), [1])
    await fleet.time.advance(PAUSE - 10_400 + offset)
    fleet.restart(SECOND)
    await fleet.time.advance(SETTLE - offset)
    t.deepEqual((await readAll(fleet, NAMES)).map(({ length }) => length), NAMES.map(() => 1))
  })
}

/** Reads the results from the first position at these daemons; throws where one doesn't answer. */
async function readAll (fleet: JobFleet, names: readonly string[]): Promise<ReadonlyArray<readonly unknown[]>> {
  const pages = names.map(async name => (await fleet.daemons.get(name)!.reader.readResults('j', 0, 0)).unwrap().results)
  await fleet.time.advance(1_500)
  return await Promise.all(pages)
}
