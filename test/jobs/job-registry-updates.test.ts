import 'reflect-metadata'
import test from 'ava'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
const [OWNER, OTHER] = [names[0]!, names[3]!]
/** Long after the last publication of a job that is done or ended, ms. */
const LONG = 60_000
/** Time within which every daemon must know an accepted job, ms. */
const SETTLED = 1_000

function countWaiting (fleet: JobFleet, name: string): number {
  return fleet.daemons.get(name)!.registry.countWaitingTokens(() => true)
}

async function accept (fleet: JobFleet): Promise<void> {
  await fleet.start()
  await fleet.daemons.get(OWNER)!.owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
}

/** Finishes all items and waits until the results are stored. */
async function finish (fleet: JobFleet): Promise<void> {
  for (const { id } of items) fleet.daemons.get(OWNER)!.finish(id)
  await fleet.time.advance(3_000)
}

// Guards against refusing jobs for tokens that no longer wait, because one message was lost.
test('a daemon that missed the end of a job stops counting its tokens', async t => {
  const fleet = new JobFleet()
  await accept(fleet)
  await fleet.time.advance(500)
  fleet.loses = (_from, to, { type }) => to === OTHER && type === 'job'
  await finish(fleet)
  fleet.loses = () => false
  await fleet.time.advance(LONG)
  t.is(countWaiting(fleet, OTHER), 0)
})

// Guards against accepting more waiting tokens than the limit, because one message was lost.
test('a daemon that missed the acceptance of a job counts its tokens soon', async t => {
  const fleet = new JobFleet()
  fleet.loses = (_from, to) => to === OTHER
  await accept(fleet)
  await fleet.time.advance(50)
  fleet.loses = () => false
  await fleet.time.advance(SETTLED)
  t.is(countWaiting(fleet, OTHER), countWaiting(fleet, OWNER))
})

// Guards against a daemon that has just started refusing jobs for tokens of jobs that were done before.
for (const how of ['done', 'ended'] as const) {
  test(`a daemon that starts counts no tokens of a job that is ${how}`, async t => {
    const fleet = new JobFleet()
    await accept(fleet)
    await fleet.time.advance(500)
    if (how === 'done') await finish(fleet)
    else {
      await fleet.daemons.get(OWNER)!.records.end(JOB)
      await fleet.daemons.get(OWNER)!.reader.stopAtOwner(JOB)
      await fleet.time.advance(3_000)
    }
    t.is(countWaiting(fleet, OTHER), 0)
    fleet.restart(OTHER)
    await fleet.time.advance(LONG)
    t.is(countWaiting(fleet, OTHER), 0)
  })
}
