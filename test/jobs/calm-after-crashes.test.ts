import 'reflect-metadata'
import test from 'ava'
import type { OwnedJob } from '../../src/jobs/owned-job.js'
import { createJobRoute, simulateItems, type ItemFleet, type SimulatedServer } from '../helpers/simulate-items.js'

const SEEDS = [1, 2]
const SERVERS = 12
const SHARE = 0.3
/** When servers end, ms; the last of them is the last trouble. */
const FORMER_CRASHES = [4_000, 18_000].flatMap(at => [0, 400, 800, 1_200].map(delay => at + delay))
const LAST_CRASHES = Array.from({ length: 11 }, (_, i) => 30_000 + i * 500)
const LAST_CRASH = LAST_CRASHES.at(-1)!
/** Time after the last trouble at whose end no open job may have been at no server for a while, ms, and the time for which an item counts as at a server. */
const FINISH = 18_000
const LYING = 5_000
const MIN_RUN = 1_000
/** Events of an item, one each 100 ms. */
const EVENTS = 60
const CHECK_PERIOD = 100
/** The part that several jobs of each daemon share, and the time before the last trouble in which these are accepted, ms. */
const PART = 'rare'
const JOBS_EACH = 2
const ACCEPTED_WITHIN = 12_000

interface Case { readonly seed: number, readonly downtime: number, readonly daemons: number }

function createServer (name: string): SimulatedServer {
  return { name, pool: 'a', version: 'new', isListed: true, isLeaving: false, isGranted: true, behaviour: 'serves', batch: 0, online: 0 }
}

/** Lets jobs with the part, and others, come at all daemons. */
function addJobs ({ clock, random, names, addJob }: ItemFleet, jobs: OwnedJob[]): void {
  const add = (daemon: string, part: string): void => {
    const id = `j${jobs.length}`
    jobs.push(addJob(id, { daemon, items: Array.from({ length: 4 + random.below(12) }, (_, i) => ({ id: `${id}.${i}`, path: '/x', headers: { parts: `${part},topic${random.below(40)}` }, body: 'eA==', tokens: 10 })) }))
  }
  for (let at = 1_000; at < LAST_CRASH; at += 4_000) clock.after(at, () => add(names[random.below(names.length)]!, `part${random.below(8)}`))
  for (const name of names) for (let i = 0; i < JOBS_EACH; i++) clock.after(LAST_CRASH - random.below(ACCEPTED_WITHIN), () => add(name, PART))
}

/** Crashes servers in bursts, and with each of them one that runs the part. */
function crashServers ({ clock, random, servers, crash, lose }: ItemFleet, downtime: number): void {
  for (const at of [...FORMER_CRASHES, ...LAST_CRASHES]) {
    clock.after(at - 50, () => lose([PART], `lost-${at}`))
    clock.after(at, () => { for (const server of servers) if (server.isListed && random.next() < SHARE) crash(server, downtime) })
  }
}

/** Returns the open jobs of which no item was at a server in the last while. */
async function listLying ({ clock }: ItemFleet, jobs: readonly OwnedJob[]): Promise<readonly string[]> {
  const runs = new Map<string, number>()
  const placed = new Set<string>()
  for (const end = clock.now() + LYING; clock.now() < end;) {
    await clock.advance(CHECK_PERIOD)
    for (const job of jobs) {
      for (const { item, phase } of job.items) {
        runs.set(item.id, phase === 'running' ? (runs.get(item.id) ?? 0) + CHECK_PERIOD : 0)
        if (runs.get(item.id)! >= MIN_RUN) placed.add(job.id)
      }
    }
  }
  return jobs.filter(job => !placed.has(job.id) && job.items.some(({ phase }) => phase !== 'ended')).map(({ id }) => id)
}

async function play ({ seed, downtime, daemons }: Case): Promise<readonly string[]> {
  const fleet = await simulateItems({ seed, daemons, events: EVENTS, servers: Array.from({ length: SERVERS }, (_, i) => createServer(`a${i}`)) })
  const { clock, random, names, routes, pass } = fleet
  routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
  clock.every(100, () => pass(names[random.below(names.length)]!, ['sound', `topic${random.below(40)}`]))
  const jobs: OwnedJob[] = []
  addJobs(fleet, jobs)
  crashServers(fleet, downtime)
  await clock.advance(LAST_CRASH + FINISH - LYING)
  return await listLying(fleet, jobs)
}

for (const downtime of [500, 2_500]) {
  for (const daemons of [4, 6, 9]) {
    // Guards against jobs of which no item is at a server long after the last crash, because each crash prolonged the hold of a part that they share.
    test.serial(`each open job has an item at a server 13 to 18 s after the last crash: ${daemons} daemons, servers back after ${downtime} ms`, async t => {
      const lying: string[] = []
      for (const seed of SEEDS) lying.push(...(await play({ seed, downtime, daemons })).map(job => `seed ${seed}: ${job}`))
      t.deepEqual(lying, [])
    })
  }
}
