import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
/** Within this nothing of an ended job may run any more, ms: the users' bound. */
const END_BOUND = 3_000
/** Longest pause of a daemon in the random orders, ms. */
const LONGEST_PAUSE = 4_000
const SEEDS = 60

/** The daemons that would still run items of the job. */
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

/** The caller ends the job through a daemon. */
async function end (fleet: JobFleet, name: string): Promise<void> {
  const { records, reader } = fleet.daemons.get(name)!
  await records.end(JOB)
  void reader.stopAtOwner(JOB)
}

// Guards against an owner that runs on because the daemon that acknowledged the end had never heard of the job.
test('an owner stops a job whose end a daemon acknowledged that knows no owner', async t => {
  const fleet = new JobFleet()
  fleet.loses = (_from, _to, { type }) => type === 'job'
  await accept(fleet, names[0]!)
  await fleet.time.advance(800)
  await end(fleet, names[3]!)
  await fleet.time.advance(END_BOUND)
  t.deepEqual(listRunning(fleet), [])
})

// Guards against one of two owners that runs on because the end was told to the other.
test('an owner that no other daemon has among its members stops a job that was taken over and ended', async t => {
  const fleet = new JobFleet()
  fleet.knows = (name, other) => other !== names[0] || name === other
  await accept(fleet, names[0]!)
  // No cast reaches the owner; the others hear of the job by the word of one that does.
  await fleet.daemons.get(names[2]!)!.owner.adopt(JOB)
  await fleet.time.advance(800)
  await end(fleet, names[3]!)
  await fleet.time.advance(END_BOUND)
  t.deepEqual(listRunning(fleet), [])
})

// Guards against an end that depends on a message: any may be lost, owners stand still, and views differ.
test('whatever is lost between daemons, every owner stops an ended job in time', async t => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = new Random(seed)
    const fleet = new JobFleet()
    const share = random.next()
    const hidden = names[random.below(names.length)]!
    fleet.loses = () => random.next() < share
    fleet.knows = (name, other) => name === other || other !== hidden
    await accept(fleet, names[random.below(names.length)]!)
    await fleet.time.advance(random.below(2_000))
    if (random.below(2) === 0) await fleet.pause(names[random.below(names.length)]!, random.below(LONGEST_PAUSE), random.below(2) === 0)
    await fleet.time.advance(random.below(2_000))
    await end(fleet, names[random.below(names.length)]!)
    await fleet.time.advance(LONGEST_PAUSE + END_BOUND)
    t.deepEqual(listRunning(fleet), [], `seed ${seed}`)
  }
})
