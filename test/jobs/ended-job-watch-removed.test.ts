import 'reflect-metadata'
import test from 'ava'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
const [OWNER, OTHER] = [names[0]!, names[2]!]
/** Longer than the retention time of results, ms: the job and its end are no longer stored. */
const REMOVED_AFTER = 200_000
const STEP = 50

// Guards against an owner that was paused until the job and its end were removed, and takes the missing end for an open job.
test('an owner that was paused until its ended job was removed starts nothing of it', async t => {
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
