import 'reflect-metadata'
import test from 'ava'
import type { ConfigurationHolder } from '../../src/config/configuration-holder.js'
import type { ConfigurationLoader } from '../../src/config/configuration-loader.js'
import { ConfigurationObjects } from '../../src/config/configuration-objects.js'
import { ConfigurationDistribution } from '../../src/config/rollout/configuration-distribution.js'
import { DaemonDirectory } from '../../src/fleet/daemon-directory.js'
import { EndedJobLookup } from '../../src/jobs/ended-job-lookup.js'
import { EndedJobWatch } from '../../src/jobs/ended-job-watch.js'
import type { JobOwner } from '../../src/jobs/job-owner.js'
import { JobRecords } from '../../src/jobs/job-records.js'
import { OwnedJob } from '../../src/jobs/owned-job.js'
import type { JobRegistry } from '../../src/jobs/registry/job-registry.js'
import { StoredJobSearch } from '../../src/jobs/stored-job-search.js'
import { PauseWatch } from '../../src/kernel/pause-watch.js'
import { Random } from '../../src/kernel/random.js'
import type { Settings } from '../../src/kernel/settings.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { Members } from '../../src/peers/members.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import { InstanceList } from '../../src/store/instance-list.js'
import { PlatformClient } from '../../src/store/platform-client.js'
import { TroubledStore, type Trouble, type TroubleType } from '../helpers/troubled-store.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

/** Within this time after the end of trouble, or after a change, a daemon must know, ms. */
const BOUND = 3_000
/** Of one run of the trouble, from its beginning, ms. */
const PHASES = [0, 300, 700, 1_100, 2_300, 4_700]
const TYPES: readonly TroubleType[] = ['silent', 'busy', 'limited', 'reset', 'slow', 'lost', 'mute']
const settings = { instance: 'd', failureDomain: 'z', region: 'r', listen: { host: '10.0.0.1', port: 1, peerPort: 2 }, seeds: [], peers: [] } as unknown as Settings
const noMembers = { all: () => [], owners: () => [], findRun: () => undefined, subscribe: () => {} } as unknown as Members
const noLinks = { send: () => {}, findSession: () => undefined } as unknown as PeerLinks
const log = { write: () => {} }

interface Trial { readonly clock: VirtualClock, readonly store: TroubledStore, readonly client: PlatformClient }

/** Starts a part that reads a kind; `change` makes a change and returns whether the part knows of it. */
interface Reader {
  readonly kind: string
  /** Whether it reads at its start only: it starts shortly before or during the trouble, and later changes come from other daemons. */
  readonly atStart?: boolean
  readonly start: (trial: Trial) => { readonly change: () => void, readonly isKnown: () => boolean }
}

const readers: readonly Reader[] = [
  {
    kind: 'ends of jobs',
    start: ({ clock, store, client }) => {
      const job = new OwnedJob({ id: 'j', header: { host: 'h', path: '/', submittedAt: clock.date(), total: 1, tokens: 1, owner: 'd', run: 1, parts: 1 }, items: [], segments: [], acceptedAt: 0, readAt: 0 })
      const owner = { list: () => [job], end: () => { job.ended = true }, applyRecordedOwners: () => {}, forget: () => {} } as unknown as JobOwner
      const pauses = new PauseWatch(clock)
      const records = new JobRecords(client)
      const lookup = new EndedJobLookup(records, noMembers, noLinks, pauses, settings, { write: () => {} }, clock)
      void new EndedJobWatch(owner, records, lookup, pauses, new Metrics(), { resultKeep: 120_000 }, log, clock).start()
      return { change: () => store.put('job-ends', 'j', true), isKnown: () => job.ended }
    }
  },
  {
    kind: 'jobs',
    atStart: true,
    start: ({ clock, store, client }) => {
      const known = new Set<string>()
      const registry = { addIfAbsent: ({ id }: { id: string }) => known.add(id), get: () => undefined, publishSeen: () => {}, list: () => [] } as unknown as JobRegistry
      void new StoredJobSearch(registry, new JobRecords(client), noMembers, settings, log, clock).start()
      return { change: () => store.put('jobs', 'j', {}), isKnown: () => known.has('j') }
    }
  },
  {
    kind: 'daemons',
    atStart: true,
    start: ({ clock, store, client }) => {
      const directory = new DaemonDirectory(client, settings, clock, new Random(1), log, { waitForFirst: async () => await new Promise(() => {}) } as unknown as ConfigurationHolder)
      void directory.start()
      return { change: () => store.put('daemons', 'e', { name: 'e', host: '10.0.0.2' }), isKnown: () => directory.all.some(({ name }) => name === 'e') }
    }
  },
  {
    kind: 'instances of the platform',
    start: ({ clock, store, client }) => {
      const list = new InstanceList(client, clock)
      void list.start()
      return { change: () => { store.instances.push({ name: 's', pool: 'p', host: '10.0.0.3', port: 1, failureDomain: 'z', region: 'r', state: 'live' }) }, isKnown: () => list.all.some(({ name }) => name === 's') }
    }
  },
  {
    kind: 'manifest of the configuration',
    start: ({ clock, store, client }) => {
      let version = 0
      const loader = { load: async () => { version++ } } as unknown as ConfigurationLoader
      const objects = new ConfigurationObjects(client, clock)
      const distribution = new ConfigurationDistribution(objects, loader, noMembers, noLinks, new PauseWatch(clock), settings, new Random(1), clock)
      void distribution.start()
      store.put('configuration', 'manifest', { format: 1, packs: [] })
      return { change: () => { version = 0; store.put('configuration', 'manifest', { format: 1, packs: [] }) }, isKnown: () => version > 0 }
    }
  }
]

// Guards against a reader of any kind that stays behind because of a read that was sent, or pending, in trouble of the store.
for (const reader of readers) {
  test(`a daemon knows of changes in time after trouble of the store: ${reader.kind}`, async t => {
    const late: string[] = []
    for (const type of TYPES) {
      for (const time of [200, 1_000, 6_000]) for (const phase of PHASES) late.push(...await findLate(reader, { type, from: phase, to: phase + time, delay: 200 }))
    }
    t.deepEqual(late, [])
  })
}

async function findLate ({ start, atStart = false }: Reader, trouble: Trouble): Promise<readonly string[]> {
  const clock = new VirtualClock()
  const store = new TroubledStore(clock)
  const client = new PlatformClient(store.connect('d', clock), { clock, random: new Random(1), maxProbeDelay: 600, callerTimeout: 250, fleetRates: { reads: 2_000, writes: 400 } })
  const settle = atStart ? 0 : 10_000
  store.troubles.push({ ...trouble, from: settle + trouble.from, to: settle + trouble.to })
  const { change, isKnown } = start({ clock, store, client })
  if (atStart) change()
  await clock.advance(settle + trouble.to - 50)
  if (!atStart) change()
  await clock.advance(50 + BOUND)
  return isKnown() ? [] : [`${trouble.type} from ${trouble.from} to ${trouble.to}`]
}
