import 'reflect-metadata'
import test from 'ava'
import type { Result } from 'ts-results'
import type { StoreError } from '../../src/store/store-error.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
const [ACCEPTING, TAKING] = [names[0]!, names[1]!]
const ITEMS = 'job-items'
const ENDS = 'job-ends'
const PAUSE = 20_000

/** Delays the responses to reads of items by `delay` ms; the store itself reads at once. */
function delayItems (fleet: JobFleet, daemon: string, delay: number): void {
  const get = fleet.store.get.bind(fleet.store)
  fleet.store.get = (async (kind: string, name: string) => {
    const answer = await get(kind, name)
    if (kind === ITEMS) await new Promise<void>(resolve => fleet.daemons.get(daemon)!.clock.after(delay, resolve))
    return answer as Result<never, StoreError>
  }) as JobFleet['store']['get']
}

function mayStart (fleet: JobFleet, name: string): boolean {
  const { owner, clock, pauses } = fleet.daemons.get(name)!
  if (clock.isPaused) return false
  pauses.check()
  return owner.find(JOB)?.mayStart(clock.now()) ?? false
}

// Guards against a daemon that is suspended while it takes a job over and then uses a response from before.
for (const counted of [true, false]) {
  test(`a job whose takeover was interrupted by a pause starts nothing before a new read (monotonic clock ${counted ? 'runs on' : 'stops'})`, async t => {
    const fleet = new JobFleet()
    await fleet.start()
    await fleet.daemons.get(ACCEPTING)!.owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
    await fleet.time.advance(200)
    // The response that the job has not ended arrives before the pause, its items after.
    delayItems(fleet, TAKING, PAUSE + 500)
    void fleet.daemons.get(TAKING)!.owner.adopt(JOB)
    await fleet.time.advance(50)
    await fleet.pause(TAKING, PAUSE, counted)
    await fleet.time.advance(10_000)
    // No message reaches it.
    fleet.loses = () => true
    await fleet.daemons.get(names[2]!)!.records.end(JOB)
    // Reads after the pause fail for a while.
    fleet.store.fault = ({ kind }) => kind === ENDS ? { fail: { type: 'unavailable', reason: 'no answer' } } : 'none'
    let late = 0
    for (let at = 0; at < 13_000; at += 10) {
      await fleet.time.advance(10)
      if (mayStart(fleet, TAKING)) late += 10
    }
    t.is(late, 0, `items may start for ${late} ms after the pause`)
  })
}
