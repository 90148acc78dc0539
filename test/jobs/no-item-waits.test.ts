import 'reflect-metadata'
import test from 'ava'
import type { JobItem } from '../../src/jobs/job-item.js'
import type { OwnedJob } from '../../src/jobs/owned-job.js'
import { createJobRoute, simulateItems, type Behaviour, type ItemFleet, type SimulatedServer } from '../helpers/simulate-items.js'

/** Rounds per row; each combines whom it concerns, what else is there and what is lost in another way. */
const ROUNDS = 24
/** When the trouble of a row is over, or there is room although it lasts, ms. */
const ROOM_FROM = 3_000
/** Time from a granted slot to the first byte at a server, and between two requests for slots, with some lost, ms. */
const START_TIME = 1_500
/** How long items wait for the version that began them, ms. */
const VERSION_WAIT = 10_000
/** How long items with a part that is suspect or refused wait in all, ms: the users look 18 s after the last trouble for what was at no server for 5 s. */
const PART_WAIT = 13_000
/** Where several items share the part, one goes first: time until its run has passed, and until another daemon's silence counts as a grant, ms. */
const PASS_TIME = 1_500
const ASK_TIME = 600
const ROUTE_GONE = 5_000
const LONGEST_BACKOFF = 1_250
const RUN_WITHOUT_EVENTS = 31_000
const ITEM_TIME = 1_500

type Concern = 'one item' | 'the last item' | 'all of a model' | 'all of a first part'

interface Round extends ItemFleet {
  /** The items that the reason concerns. */
  readonly concerned: ReadonlySet<string>
  readonly job: OwnedJob
  readonly round: number
}

interface Row {
  readonly name: string
  /** How long the concerned items may wait once there is room, ms. */
  readonly end: number
  /** Brings the reason about, before the jobs come. */
  readonly prepare?: (fleet: ItemFleet) => void
  /** Brings the reason about, once the job is there. */
  readonly trouble: (round: Round) => void
  /** Whether the concerned items have progress at version `old`. */
  readonly hasProgress?: boolean
  readonly hasPart?: boolean
  /** Whether its items run one after the other, as trials, each once the one before has passed; and how many of other daemons do so before. */
  readonly isOneByOne?: boolean
  readonly others?: number
  /** Whether the items must end as failed. */
  readonly isFailed?: boolean
  readonly daemons?: number
  readonly duration?: number
}

/** The part of a round's items; which daemon grants its trials depends on its name. */
const findPart = ({ seed }: Pick<ItemFleet, 'seed'>): string => `part-${seed}`
const createServer = (name: string, pool: string, version = ''): SimulatedServer => ({ name, pool, version, isListed: true, isLeaving: false, isGranted: true, behaviour: 'serves', batch: 0, online: 0 })
const concerns: readonly Concern[] = ['one item', 'the last item', 'all of a model', 'all of a first part']
const losses = [{ messages: 0, grants: 0 }, { messages: 0.1, grants: 0 }, { messages: 0, grants: 0.3 }]

/** Lists which of the job's items a reason concerns. */
function listConcerned (concern: Concern, ids: readonly string[]): ReadonlySet<string> {
  switch (concern) {
    case 'one item': return new Set([ids[1]!])
    case 'the last item': return new Set([ids.at(-1)!])
    case 'all of a model': return new Set(ids)
    case 'all of a first part': return new Set(ids.filter((_, i) => i % 2 === 0))
  }
}

function setBehaviour ({ servers }: Pick<ItemFleet, 'servers'>, behaviour: Behaviour, version?: string): void {
  for (const server of servers) if (server.pool === 'a' && (version === undefined || server.version === version)) server.behaviour = behaviour
}

/** Loses servers one after another with the part in flight, while others pass. */
function accuse (fleet: ItemFleet, count: number, gap = 500): void {
  const { clock, pass, lose, names } = fleet
  for (let i = 0; i < 30 * names.length; i++) clock.after((i % 100) * 4, () => pass(names[i % names.length]!, ['sound']))
  for (let i = 0; i < count; i++) clock.after(700 + i * gap, () => lose([findPart(fleet)], `lost-${i}`))
}

const serveOld = (change: (server: SimulatedServer) => void) => ({ servers }: Round): void => { for (const server of servers) if (server.version === 'old') change(server) }

const rows: readonly Row[] = [
  { name: 'a suspect part whose trial a daemon holds that gets no slot', end: PART_WAIT, hasPart: true, prepare: fleet => { accuse(fleet, 1); starve(fleet, ['entry-1']) }, trouble: () => {} },
  { name: 'a suspect part whose trial two of three daemons can not begin', end: PART_WAIT, hasPart: true, prepare: fleet => { accuse(fleet, 1); starve(fleet, ['entry-1', 'entry-2']) }, trouble: () => {} },
  { name: 'a suspect part whose trial seven of eight daemons can not begin', daemons: 8, end: PART_WAIT, hasPart: true, prepare: fleet => { accuse(fleet, 1); starve(fleet, fleet.names.slice(1)) }, trouble: () => {} },
  { name: 'a suspect part while half of all messages are lost', end: PART_WAIT, hasPart: true, prepare: fleet => { accuse(fleet, 1); starve(fleet, ['entry-1']); fleet.clock.after(2_000, () => { fleet.lost.messages = 0.5 }) }, trouble: () => {} },
  { name: 'a part refused wrongly', end: PART_WAIT, hasPart: true, isOneByOne: true, prepare: fleet => accuse(fleet, 4), trouble: () => {}, duration: 60_000 },
  { name: 'a part refused wrongly, at several daemons', end: PART_WAIT, hasPart: true, isOneByOne: true, others: 3, prepare: fleet => accuse(fleet, 4), trouble: round => { addOwnItems(round, 'entry-1') }, duration: 60_000 },
  { name: 'a part refused wrongly, and no daemon reaches another', end: PART_WAIT, hasPart: true, isOneByOne: true, prepare: fleet => { accuse(fleet, 4); fleet.clock.after(2_500, () => { fleet.lost.messages = 1 }) }, trouble: () => {}, duration: 60_000 },
  { name: 'a part refused wrongly, after five losses', end: PART_WAIT, hasPart: true, isOneByOne: true, prepare: fleet => accuse(fleet, 5, 450), trouble: () => {}, duration: 60_000 },
  { name: 'a part refused wrongly, after fifteen losses', end: PART_WAIT, hasPart: true, isOneByOne: true, prepare: fleet => accuse(fleet, 15, 150), trouble: () => {}, duration: 60_000 },
  { name: 'a part refused wrongly whose trial two of three daemons can not begin', end: PART_WAIT, hasPart: true, isOneByOne: true, prepare: fleet => { accuse(fleet, 4); starve(fleet, ['entry-1', 'entry-2']) }, trouble: () => {}, duration: 60_000 },
  { name: 'a part refused wrongly whose trial seven of eight daemons can not begin', daemons: 8, end: PART_WAIT, hasPart: true, isOneByOne: true, prepare: fleet => { accuse(fleet, 4); starve(fleet, fleet.names.slice(1)) }, trouble: () => {}, duration: 60_000 },
  { name: 'its version is listed and refuses', end: VERSION_WAIT + START_TIME, hasProgress: true, trouble: serveOld(server => { server.behaviour = 'refuses' }) },
  { name: 'its version is listed and gets no grants', end: VERSION_WAIT + START_TIME, hasProgress: true, trouble: serveOld(server => { server.isGranted = false }) },
  { name: 'its version is listed and full of online requests', end: VERSION_WAIT + START_TIME, hasProgress: true, trouble: serveOld(server => { server.online = 8 }) },
  { name: 'its version is listed and silent', end: VERSION_WAIT + START_TIME + LONGEST_BACKOFF + 1_500, hasProgress: true, trouble: serveOld(server => { server.behaviour = 'is silent' }) },
  { name: 'its version is listed and cuts each answer', end: VERSION_WAIT + START_TIME + LONGEST_BACKOFF, hasProgress: true, trouble: serveOld(server => { server.behaviour = 'cuts' }) },
  { name: 'its version is leaving', end: START_TIME, hasProgress: true, trouble: serveOld(server => { server.isLeaving = true }) },
  { name: 'its version is gone', end: START_TIME, hasProgress: true, trouble: serveOld(server => { server.isListed = false }) },
  { name: 'the look-up of its job fails, then answers', end: START_TIME + 1_000, trouble: ({ job, unread, clock }) => { unread.add(job); job.lastRead = { unreachable: false }; clock.after(ROOM_FROM, () => unread.delete(job)) } },
  { name: 'its route is deleted and added again', end: START_TIME, trouble: ({ routes, clock }) => { const route = routes.a; routes.a = undefined; clock.after(ROOM_FROM, () => { routes.a = route }) } },
  { name: 'its route is deleted', end: ROUTE_GONE + START_TIME, isFailed: true, trouble: ({ routes }) => { routes.a = undefined } },
  { name: 'its route takes no jobs any more', end: ROUTE_GONE + START_TIME, isFailed: true, trouble: ({ routes }) => { const { jobs: _, ...route } = routes.a!; routes.a = route } },
  { name: 'its route moves to another service', end: START_TIME, trouble: ({ routes, servers }) => { servers.push(createServer('m1', 'moved')); routes.a = createJobRoute('/a/', [{ service: 'moved', weight: 1 }]) } },
  { name: 'its route sends nothing to its service, then does', end: START_TIME, trouble: ({ routes, clock }) => { routes.a = createJobRoute('/a/', [{ service: 'a', weight: 0 }]); clock.after(ROOM_FROM, () => { routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }]) }) } },
  { name: 'a more urgent job of the same daemon has no servers', end: START_TIME, trouble: round => { round.routes.none = createJobRoute('/none/', [{ service: 'none', weight: 1 }]); round.addJob('urgent', { daemon: 'entry-0', path: '/none/', items: listItems('urgent', 4), acceptedAt: round.clock.now() - 15_000 }) } },
  { name: 'its runs are lost, then served', end: START_TIME + LONGEST_BACKOFF, trouble: round => { setBehaviour(round, 'cuts'); round.clock.after(ROOM_FROM, () => setBehaviour(round, 'serves')) } },
  { name: 'its servers refuse, then serve', end: START_TIME, trouble: round => { setBehaviour(round, 'refuses'); round.clock.after(ROOM_FROM, () => setBehaviour(round, 'serves')) } },
  { name: 'its runs are stopped again and again for online requests', end: START_TIME + LONGEST_BACKOFF, trouble: ({ clock, servers, revoke }) => { for (let at = 500; at < ROOM_FROM; at += 250) clock.after(at, () => { for (const { name } of servers) revoke(name) }) } },
  { name: 'its run throws', end: START_TIME + LONGEST_BACKOFF, trouble: round => { setBehaviour(round, 'throws'); round.clock.after(ROOM_FROM, () => setBehaviour(round, 'serves')) } },
  { name: 'its run brings bytes and no events', end: RUN_WITHOUT_EVENTS + START_TIME + LONGEST_BACKOFF, duration: 60_000, trouble: round => { setBehaviour(round, 'sends no events'); round.clock.after(ROOM_FROM, () => setBehaviour(round, 'serves')) } },
  { name: 'it can not end in time, beside jobs that can', end: START_TIME + ITEM_TIME, trouble: ({ clock, addJob }) => { for (let i = 0; i < 20; i++) clock.after(i * 1_000, () => addJob(`timely-${i}`, { daemon: 'entry-0', items: listItems(`timely-${i}`, 4) })) } },
  { name: 'no reason', end: START_TIME, trouble: () => {} }
]

function listItems (job: string, count: number, headers: (i: number) => Readonly<Record<string, string>> = () => ({})): readonly JobItem[] {
  return Array.from({ length: count }, (_, i) => ({ id: `${job}.${i}`, path: '/x', headers: headers(i), body: 'eA==', tokens: 10 }))
}

/** Adds a job with items of the part at another daemon. */
function addOwnItems (fleet: ItemFleet, daemon: string): void {
  fleet.addJob(`other-${daemon}`, { daemon, items: listItems(`other-${daemon}`, 3, () => ({ parts: findPart(fleet) })) })
}

/** Lets daemons have items of the part, and so ask for its trials, and no slots. */
function starve (fleet: ItemFleet, daemons: readonly string[]): void {
  for (const daemon of daemons) {
    fleet.starved.add(daemon)
    fleet.clock.after(2_000, () => addOwnItems(fleet, daemon))
  }
}

/** Gives the items progress at the version `old`, as a run there left it. */
function addProgress (job: OwnedJob, concerned: ReadonlySet<string>): void {
  job.applyProgress(job.items.filter(({ item }) => concerned.has(item.id)).map(({ item }) => ({ id: item.id, last: 3, texts: ['x', 'x', 'x'], version: 'old', failures: 0 })))
}

/** Takes slots for online requests, at most half of each server's, and lets them pass. */
function addOnlineLoad ({ clock, random, servers, names, pass }: ItemFleet): void {
  clock.every(300, () => {
    for (const server of servers) if (server.online < 8) server.online = random.below(5)
    pass(names[random.below(names.length)]!, ['sound'])
  })
}

/** Plays one round; returns the concerned items that were left lying, with how long they waited. */
async function play (row: Row, round: number): Promise<readonly string[]> {
  const concern = concerns[round % concerns.length]!
  const loss = losses[round % losses.length]!
  const servers = [createServer('a1', 'a', row.hasProgress ? 'old' : 'new'), createServer('a2', 'a', 'new'), createServer('a3', 'a', 'new')]
  if (round % 8 >= 4) servers.push(createServer('b1', 'b'), createServer('c1', 'c'))
  const fleet = await simulateItems({ seed: round * 7 + 1, servers, ...row.daemons !== undefined && { daemons: row.daemons } })
  fleet.routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
  for (const pool of ['b', 'c']) fleet.routes[pool] = createJobRoute(`/${pool}/`, [{ service: pool, weight: 1 }])
  Object.assign(fleet.lost, loss)
  if (round % 16 >= 8) addOnlineLoad(fleet)
  row.prepare?.(fleet)
  await fleet.clock.advance(row.prepare === undefined ? 100 : ROOM_FROM)
  const ids = listItems('j', 6).map(({ id }) => id)
  const concerned = listConcerned(concern, ids)
  const job = fleet.addJob('j', { daemon: 'entry-0', items: listItems('j', 6, i => ({ ...row.hasPart === true && concerned.has(ids[i]!) && { parts: findPart(fleet) } })), ...row.name.startsWith('it can not end') && { acceptedAt: fleet.clock.now() - 60_000 } })
  if (row.hasProgress === true) addProgress(job, concerned)
  if (servers.length > 3) for (const pool of ['b', 'c']) fleet.addJob(pool, { daemon: 'entry-0', path: `/${pool}/`, items: listItems(pool, 3) })
  row.trouble({ ...fleet, concerned, job, round })
  const from = fleet.clock.now()
  const duration = row.duration ?? 30_000
  const waited = await measureWaits(fleet, { job, concerned, from, duration })
  const trialsBefore = row.isOneByOne === true ? concerned.size - 1 + (row.others ?? 0) : 0
  return [...waited].filter(([, time]) => time > row.end + trialsBefore * (PASS_TIME + ASK_TIME) + (row.prepare === undefined ? ROOM_FROM : 0)).map(([id, time]) => `round ${round} (${concern}): ${id} waited ${time} ms`)
}

/** Measures the longest time that each item waits: neither in a run that brings it on nor ended. The last one counts until the end of the round. */
async function measureWaits ({ clock }: ItemFleet, { job, concerned, from, duration }: { readonly job: OwnedJob, readonly concerned: ReadonlySet<string>, readonly from: number, readonly duration: number }): Promise<ReadonlyMap<string, number>> {
  const movedAt = new Map([...concerned].map(id => [id, from]))
  const seen = new Map<string, number | undefined>()
  const waited = new Map<string, number>()
  while (clock.now() < from + duration && job.items.some(({ phase }) => phase !== 'ended')) {
    await clock.advance(100)
    for (const { item: { id }, last, phase } of job.items) {
      if (!concerned.has(id) || waited.get(id) === Infinity) continue
      const moved = phase === 'ended' || (seen.has(id) && last !== undefined && seen.get(id) !== last)
      if (moved || !seen.has(id)) seen.set(id, last)
      waited.set(id, Math.max(waited.get(id) ?? 0, clock.now() - movedAt.get(id)!))
      if (moved) movedAt.set(id, clock.now())
    }
  }
  return waited
}

for (const row of rows) {
  // Guards against items that nobody runs though servers have room, because what keeps them back has no end.
  test(`no item waits longer than stated while there is room: ${row.name}`, async t => {
    const left: string[] = []
    for (let round = 0; round < ROUNDS; round++) left.push(...(await play(row, round)).slice(0, 1))
    t.deepEqual(left, [], `${left.length} of ${ROUNDS} rounds`)
  })
}
