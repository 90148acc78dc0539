import 'reflect-metadata'
import test from 'ava'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
/** Within this nothing of an ended job may run any more, ms: the users' bound. */
const END_BOUND = 3_000

/** The daemons that would still run items of the job. */
function listRunning (fleet: JobFleet): readonly string[] {
  return [...fleet.daemons.values()].filter(({ clock, owner }) => {
    const job = owner.find('j')
    return !clock.isPaused && job !== undefined && !job.ended
  }).map(({ name }) => name)
}

async function accept (fleet: JobFleet): Promise<void> {
  await fleet.start()
  await fleet.daemons.get(names[0]!)!.owner.accept('j', { host: 'h', path: '/jobs/' }, items)
  await fleet.time.advance(10)
}

/** The caller ends the job through a daemon. */
async function end (fleet: JobFleet, name: string): Promise<void> {
  const { records, reader } = fleet.daemons.get(name)!
  await records.end('j')
  void reader.stopAtOwner('j')
}

// The owner of a job stands still and another daemon takes the job over. While that one reads the job, its caller ends it through a third,
// which still names the old owner. The one that takes over has read that the job goes on, and would run its items for good.
test('a job that is ended while it is taken over stops', async t => {
  const fleet = new JobFleet()
  await accept(fleet)
  let ended = false
  fleet.store.fault = ({ call, kind }) => {
    if (call === 'get' && kind === 'job-progress' && !ended) {
      ended = true
      fleet.time.after(0, () => { void end(fleet, names[4]!) })
    }
    return 'none'
  }
  await fleet.pause(names[0]!, 20_000, true)
  await fleet.time.advance(4_000)
  t.true(ended)
  await fleet.time.advance(END_BOUND)
  t.deepEqual(listRunning(fleet), [])
})

// The job is ended while its owner stands still, before anybody misses it. The owner wakes and must not go on.
test('an owner that stood still while its job was ended stops', async t => {
  const fleet = new JobFleet()
  await accept(fleet)
  await fleet.pause(names[0]!, 6_000, false)
  await fleet.time.advance(2_700)
  await end(fleet, names[3]!)
  await fleet.time.advance(3_400 + END_BOUND)
  t.deepEqual(listRunning(fleet), [])
})
