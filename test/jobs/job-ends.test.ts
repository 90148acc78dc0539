import 'reflect-metadata'
import test from 'ava'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
/** Time after the end of a job by which none of it may run, ms. */
const END_BOUND = 3_000

/** Lists the daemons that would still run items of the job. */
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

/** Ends the job through a daemon, as its caller does. */
async function end (fleet: JobFleet, name: string): Promise<void> {
  const { records, reader } = fleet.daemons.get(name)!
  await records.end('j')
  void reader.stopAtOwner('j')
}

// Guards against a takeover that read the job before its end was stored, while the end was sent to the previous owner, which is paused.
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

// Guards against an owner that resumes a job that was ended during its pause.
test('an owner that was paused while its job was ended stops it', async t => {
  const fleet = new JobFleet()
  await accept(fleet)
  await fleet.pause(names[0]!, 6_000, false)
  await fleet.time.advance(2_700)
  await end(fleet, names[3]!)
  await fleet.time.advance(3_400 + END_BOUND)
  t.deepEqual(listRunning(fleet), [])
})
