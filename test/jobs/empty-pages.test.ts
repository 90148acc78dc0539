import 'reflect-metadata'
import test from 'ava'
import { JobFleet } from '../helpers/job-fleet.js'

const { items: ITEMS, names: NAMES } = JobFleet
const FIRST = NAMES[0]!
const UNKNOWN = { type: 'unknown', reason: 'no reply came' } as const
const UNAVAILABLE = { type: 'unavailable', reason: 'outage' } as const

async function createFleet (): Promise<JobFleet> {
  const fleet = new JobFleet()
  await fleet.start()
  await fleet.daemons.get(FIRST)!.owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
  await fleet.time.advance(1_000)
  return fleet
}

/** Reads from position 0 at a daemon: the ids of the results, or why there is no answer. */
async function read (fleet: JobFleet, name: string, wait = 0): Promise<readonly string[] | string> {
  let seen: readonly string[] | string = 'pending'
  void fleet.daemons.get(name)!.reader.readResults('j', 0, wait).then(page => { seen = page.ok ? page.val.results.map(({ id }) => id) : page.val })
  await fleet.time.advance(wait + 1_500)
  return seen
}

// The owner is killed while its write of a segment has no answer, and the store executes that write after another daemon has taken the job over.
// Guards against results that daemons which read the store alone list, and the new owner doesn't.
test('a write of a former owner takes no effect once the new owner has answered that there is no result', async t => {
  const fleet = await createFleet()
  fleet.store.fault = ({ call, kind }) => call === 'put' && kind === 'job-results' ? { landLater: UNKNOWN } : 'none'
  fleet.daemons.get(FIRST)!.finish('a')
  await fleet.time.advance(10)
  fleet.store.fault = () => 'none'
  fleet.restart(FIRST)
  await fleet.time.advance(5_000)
  const owner = [...fleet.daemons.values()].find(({ owner }) => owner.find('j') !== undefined)!.name
  t.deepEqual(await read(fleet, owner), [])
  fleet.store.runDelayed()
  fleet.loses = (_, to, { type }) => to === owner && type === 'job call'
  for (const name of NAMES) t.deepEqual(await read(fleet, name), [], name)
})

// The store executes a write of the owner, whose answer is lost, and takes no further writes. Guards against an owner that answers from memory
// that there is no result, while daemons that don't reach it list the result.
test('an owner whose write had no answer lists what the store holds', async t => {
  const fleet = await createFleet()
  let writes = 0
  fleet.store.fault = ({ call, kind }) => call !== 'put' || kind !== 'job-results' ? 'none' : writes++ === 0 ? { loseReply: UNKNOWN } : { fail: UNAVAILABLE }
  fleet.daemons.get(FIRST)!.finish('a')
  await fleet.time.advance(1_000)
  for (const name of NAMES) t.deepEqual(await read(fleet, name), ['a'], name)
})

// The store is away for every daemon for longer than an owner can know that it is the only one. Guards against an empty page that rests on an
// old look-up: another daemon may have taken the job over and listed results.
test('an owner that can not tell whether it is the only one answers that it is unsure', async t => {
  const fleet = await createFleet()
  t.deepEqual(await read(fleet, FIRST), [])
  fleet.store.fault = () => ({ fail: UNAVAILABLE })
  await fleet.time.advance(4_000)
  for (const name of NAMES) t.is(await read(fleet, name), 'unsure', name)
  fleet.store.fault = () => 'none'
  await fleet.time.advance(3_000)
  for (const name of NAMES) t.deepEqual(await read(fleet, name), [], name)
})

// A read waits for a result at the owner, which releases the job meanwhile; the next owner stores a result. Guards against an empty page of the
// job as it was when the read began.
test('a read that waits while the job is released lists what the next owner has stored', async t => {
  const fleet = await createFleet()
  const { owner, reader } = fleet.daemons.get(FIRST)!
  let seen: readonly string[] = []
  void reader.readResults('j', 0, 1_000).then(page => { seen = page.ok ? page.val.results.map(({ id }) => id) : [] })
  await fleet.time.advance(100)
  const job = owner.find('j')!
  fleet.store.objects.write('job-results', 'j.0', [{ id: 'a', state: 'completed', text: 'by d2' }], 0)
  owner.releaseTo(job, NAMES[1]!)
  await fleet.time.advance(2_000)
  t.deepEqual(seen, ['a'])
})

// The owner of an ended job answers that there is no result, and its answer takes over a second; another owner stores a result meanwhile. Guards
// against a page that was right when it was sent.
test('an empty page that took long to arrive is not passed on', async t => {
  const fleet = await createFleet()
  fleet.findLatency = from => from === FIRST ? 1_200 : 1
  fleet.daemons.get(FIRST)!.owner.find('j')!.ended = true
  const reading = read(fleet, NAMES[1]!, 1_000)
  await fleet.time.advance(50)
  fleet.store.objects.write('job-results', 'j.0', [{ id: 'a', state: 'completed', text: 'by d2' }], 0)
  await fleet.time.advance(2_500)
  t.deepEqual(await reading, ['a'])
})

// A job is past its retention time, and its first results are removed from the store. Guards against a daemon that still finds the job and takes
// the results for not being there yet.
test('a job that is being removed is not answered with an empty page', async t => {
  const fleet = await createFleet()
  fleet.daemons.get(FIRST)!.finish('a')
  fleet.loses = (_, to, { type }) => to === FIRST && type === 'job call'
  await fleet.time.advance(1_000)
  t.deepEqual(await read(fleet, NAMES[1]!), ['a'])
  await fleet.time.advance(120_000)
  const { objects } = fleet.store
  objects.remove('job-results', 'j.0', objects.read('job-results', 'j.0')!.version)
  t.is(await read(fleet, NAMES[2]!), 'unsure')
  objects.remove('jobs', 'j', objects.read('jobs', 'j')!.version)
  t.is(await read(fleet, NAMES[3]!), 'missing')
})
