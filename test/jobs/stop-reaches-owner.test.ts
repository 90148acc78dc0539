import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
/** Time after the end of a job by which none of it may run, ms. */
const END_BOUND = 3_000
/** Longest pause of a daemon in the random trials, ms. */
const LONGEST_PAUSE = 4_000
const SEEDS = 60

/** Lists the daemons that would still run items of the job. */
function listRunning (fleet: JobFleet): readonly string[] {
  return [...fleet.daemons.values()].filter(({ clock, owner }) => {
    const job = owner.find(JOB)
    return !clock.isPaused && job !== undefined && !job.ended
  }).map(({ name }) => name)
}

async function accept (fleet: JobFleet, name: string): Promise<void> {
  await fleet.start()
  await fleet.daemons.get(name)!.owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
}

/** Ends the job through a daemon, as its caller does. */
async function end (fleet: JobFleet, name: string): Promise<void> {
  const { records, reader } = fleet.daemons.get(name)!
  await records.end(JOB)
  void reader.stopAtOwner(JOB)
}

// Guards against an owner that continues because the daemon that acknowledged the end doesn't know the job.
test('an owner stops a job whose end was acknowledged by a daemon that does not know the owner', async t => {
  const fleet = new JobFleet()
  fleet.loses = (_from, _to, { type }) => type === 'job'
  await accept(fleet, names[0]!)
  await fleet.time.advance(800)
  await end(fleet, names[3]!)
  await fleet.time.advance(END_BOUND)
  t.deepEqual(listRunning(fleet), [])
})

// Guards against one of two owners that continues because only the other one received the end.
test('an owner that is missing from the membership of all others stops a job that was taken over and ended', async t => {
  const fleet = new JobFleet()
  fleet.isMember = (name, other) => other !== names[0] || name === other
  await accept(fleet, names[0]!)
  // No broadcast reaches the owner; another daemon adopts the job and publishes it.
  await fleet.daemons.get(names[2]!)!.owner.adopt(JOB)
  await fleet.time.advance(800)
  await end(fleet, names[3]!)
  await fleet.time.advance(END_BOUND)
  t.deepEqual(listRunning(fleet), [])
})

// Guards against an end that depends on a message: any may be lost, owners may be paused, and memberships differ.
test('every owner stops an ended job in time, whichever messages are lost', async t => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = new Random(seed)
    const fleet = new JobFleet()
    const share = random.next()
    const hidden = names[random.below(names.length)]!
    fleet.loses = () => random.next() < share
    fleet.isMember = (name, other) => name === other || other !== hidden
    await accept(fleet, names[random.below(names.length)]!)
    await fleet.time.advance(random.below(2_000))
    if (random.below(2) === 0) await fleet.pause(names[random.below(names.length)]!, random.below(LONGEST_PAUSE), random.below(2) === 0)
    await fleet.time.advance(random.below(2_000))
    await end(fleet, names[random.below(names.length)]!)
    await fleet.time.advance(LONGEST_PAUSE + END_BOUND)
    t.deepEqual(listRunning(fleet), [], `seed ${seed}`)
  }
})
