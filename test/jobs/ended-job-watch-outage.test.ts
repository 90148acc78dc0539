import 'reflect-metadata'
import test from 'ava'
import { EndedJobLookup } from '../../src/jobs/ended-job-lookup.js'
import { EndedJobWatch } from '../../src/jobs/ended-job-watch.js'
import type { JobOwner } from '../../src/jobs/job-owner.js'
import { JobRecords } from '../../src/jobs/job-records.js'
import { OwnedJob } from '../../src/jobs/owned-job.js'
import { PauseWatch } from '../../src/kernel/pause-watch.js'
import { Random } from '../../src/kernel/random.js'
import type { Settings } from '../../src/kernel/settings.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { Members } from '../../src/peers/members.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import { PlatformClient } from '../../src/store/platform-client.js'
import { MemoryTransport } from '../helpers/memory-transport.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const OUTAGE = 6_000
/** Time after the end of the outage by which a daemon must have read the store again, ms. */
const BACK_WITHIN = 3_000
const STEP = 50

interface Trial { readonly clock: VirtualClock, readonly transport: MemoryTransport, readonly job: OwnedJob, readonly readFor: (perSecond: number) => void }

/** Creates a daemon with an open job and a store client as in production, rate-limited for a fleet of `daemons`. */
async function createTrial (daemons: number): Promise<Trial> {
  const clock = new VirtualClock()
  const transport = new MemoryTransport(clock)
  const store = new PlatformClient(transport, { clock, random: new Random(1), maxProbeDelay: 600, callerTimeout: 250, fleetRates: { reads: 2_000, writes: 400 } })
  store.useFleet(() => daemons)
  const job = new OwnedJob({ id: 'j', header: { host: 'h', path: '/', submittedAt: 0, total: 1, tokens: 1, owner: 'd', run: 1, parts: 1 }, items: [], segments: [], acceptedAt: 0, readAt: 0 })
  const owner = { list: () => [job], end: () => { job.ended = true } } as unknown as JobOwner
  const pauses = new PauseWatch(clock)
  const lookup = new EndedJobLookup(new JobRecords(store), { all: () => [] } as unknown as Members, { send: () => {} } as unknown as PeerLinks, pauses, { instance: 'd', failureDomain: 'z' } as unknown as Settings, { write: () => {} }, clock)
  const watch = new EndedJobWatch(owner, new JobRecords(store), lookup, pauses, new Metrics(), { resultKeep: 120_000 }, { write: () => {} }, clock)
  await pauses.start()
  await watch.start()
  const readFor = (perSecond: number): void => {
    clock.every(1_000 / perSecond, () => { void store.get('jobs', 'other', 'caller') })
  }
  return { clock, transport, job, readFor }
}

function isStale (job: OwnedJob, now: number): boolean {
  return job.mayStart(now) && now - (job.lastRead.seen ?? -Infinity) > BACK_WITHIN
}

// Guards against the outage allowance outliving the outage because the read that would end it is queued behind callers' reads.
for (const perSecond of [5, 20, 60, 120]) {
  test(`3 s after an outage nothing starts on a read from before it, with ${perSecond} reads of callers per second`, async t => {
    const { clock, transport, job, readFor } = await createTrial(53)
    readFor(perSecond)
    await clock.advance(5_000)
    transport.setFaults({ outage: 'refused' })
    await clock.advance(OUTAGE)
    transport.setFaults({})
    const back = clock.now()
    let latest = 0
    for (; clock.now() < back + 15_000; await clock.advance(STEP)) if (isStale(job, clock.now())) latest = clock.now() - back
    t.true(latest <= BACK_WITHIN, `items start on a read from before the outage until ${latest} ms after it`)
  })
}
