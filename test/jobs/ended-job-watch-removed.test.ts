import 'reflect-metadata'
import test from 'ava'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
const [OWNER, OTHER] = [names[0]!, names[2]!]
/** As long as results are kept, and longer: a removed job's end is gone from the store, ms. */
const REMOVED_AFTER = 200_000
const STEP = 50

// Guards against an owner that was away until the job and its end were removed, and takes "no end" for "goes on".
test('an owner that was away until its ended job was removed starts nothing of it', async t => {
  const fleet = new JobFleet()
  await fleet.start()
  const { owner, clock, pauses } = fleet.daemons.get(OWNER)!
  await owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
  await fleet.time.advance(200)
  await fleet.pause(OWNER, REMOVED_AFTER + 1_000, true)
  fleet.loses = () => true
  const { records } = fleet.daemons.get(OTHER)!
  await records.end(JOB)
  await fleet.time.advance(REMOVED_AFTER)
  t.true((await records.remove(JOB)).ok)
  let late = 0
  for (let at = 0; at < 10_000; at += STEP) {
    await fleet.time.advance(STEP)
    if (clock.isPaused) continue
    pauses.check()
    if (owner.find(JOB)?.mayStart(clock.now()) === true) late += STEP
  }
  t.is(late, 0, `items may start for ${late} ms of the first 9 s after the pause`)
})
