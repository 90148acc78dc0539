import 'reflect-metadata'
import { request } from 'node:http'
import test from 'ava'
import type { PlacementRequest } from '../../src/placement/placement-request.js'
import { buildWholeBody, startPausingServer, type PausedRun } from '../helpers/pausing-server.js'
import { RunningClock } from '../helpers/running-clock.js'
import { RouteBench } from '../helpers/route-bench.js'

// Guards against answers that are given up behind a server which is silent for a while, though no other server can take them yet,
// and against two servers at work on one request.

/** The clock of daemons, servers and callers, which share this process: time without the processor passes for none of them. */
const clock = new RunningClock()

const overloaded = { cause: 'overloaded', ran: 'not run', retryAfter: 100, detail: 'every slot is taken' } as const
/** When slots elsewhere become free where they do so later, after the request was sent, ms. */
const LATER = 1_200
/** Longest time for which two servers may be at work on one request, ms: a close is on its way. */
const MAX_OVERLAP = 400
/** Longest time from the deadline until a request that can't be answered has ended, ms. */
const MAX_LATE = 500
const FAR = 5_000
const NEAR = 2_000

const kinds = {
  'a resumable stream': { route: { streamed: true, idempotent: true, resumable: true }, path: '/stream/a', pauseAfter: 4, moves: true },
  'a resumable stream before its first event': { route: { streamed: true, idempotent: true, resumable: true }, path: '/stream/a', pauseAfter: 0, moves: true },
  'a stream that may not be resumed': { route: { streamed: true }, path: '/stream/a', pauseAfter: 4, moves: false },
  'a safe answer before its head': { route: { idempotent: true }, path: '/whole/a', pauseAfter: -1, moves: true },
  'a safe answer in its body': { route: { idempotent: true }, path: '/whole/a', pauseAfter: 4, moves: true },
  'an answer that may not be repeated': { route: {}, path: '/whole/a', pauseAfter: 4, moves: false }
} as const

/** Slots at the other server, and by when it has taken the request of a server that stays silent, ms; Infinity if never. */
const slots = {
  free: 0,
  'free later': LATER,
  'granted while the server refuses as full': LATER,
  'not granted': Infinity,
  refused: Infinity,
  'granted at the silent server only': 3_500,
  'gone with their version': Infinity
} as const

type Slots = keyof typeof slots

interface Row { readonly kind: keyof typeof kinds, readonly slots: Slots, readonly silence: number, readonly time: number }

/** Places requests: first at the silent server, then as the row says. */
function buildPlace (how: Slots): (asked: PlacementRequest) => void {
  const begin = clock.now()
  return ({ avoided, start, refuse, signal }) => {
    if (avoided.length === 0) return start('server-0')
    switch (how) {
      case 'free':
      case 'granted while the server refuses as full': return start('server-1')
      case 'granted at the silent server only': return start('server-0')
      case 'refused':
      case 'gone with their version': return refuse(overloaded)
      case 'free later':
      case 'not granted': return waitForSlot(signal, how === 'free later' ? begin + LATER : Infinity, { start, refuse })
    }
  }
}

function waitForSlot (signal: AbortSignal, at: number, { start, refuse }: Pick<PlacementRequest, 'start' | 'refuse'>): void {
  const cancel = at === Infinity ? () => {} : clock.after(at - clock.now(), () => settle(() => start('server-1')))
  const onAbort = (): void => settle(() => refuse(overloaded))
  const settle = (end: () => void): void => {
    cancel()
    signal.removeEventListener('abort', onAbort)
    end()
  }
  signal.addEventListener('abort', onAbort)
}

async function startRow ({ kind, slots: how, silence, time }: Row): Promise<{ readonly bench: RouteBench, readonly runs: PausedRun[], readonly stop: () => Promise<void> }> {
  const { route, pauseAfter } = kinds[kind]
  const runs: PausedRun[] = []
  const begin = clock.now()
  const servers = await Promise.all([0, 1].map(async server => await startPausingServer({ server, runs, pauseAfter, pause: silence, isFull: () => server === 1 && how === 'granted while the server refuses as full' && clock.now() < begin + LATER, clock })))
  const listOfVersion = (): readonly unknown[] => how === 'gone with their version' ? [] : servers
  const bench = await RouteBench.start({ ports: servers.map(({ port }) => port), route: { attempts: 3, ...route }, time, place: buildPlace(how), listOfVersion, clock })
  const stop = async (): Promise<void> => {
    await bench.stop()
    for (const server of servers) server.close()
  }
  return { bench, runs, stop }
}

function isServed ({ kind, slots: how, silence, time }: Row): boolean {
  return silence + 500 < time || (kinds[kind].moves && slots[how] < time)
}

/** Returns what is wrong with the runs of a request: two servers at work on it, or one that works on after its end. */
function findOverlap (runs: readonly PausedRun[], end: number): string | undefined {
  const isTwice = runs.some((run, i) => i > 0 && !((runs[i - 1]!.until ?? Infinity) <= run.from + MAX_OVERLAP))
  if (isTwice) return 'two servers at work'
  return runs.some(({ until = Infinity }) => until > end + MAX_LATE) ? 'a server at work after its end' : undefined
}

async function findFault (row: Row): Promise<string | undefined> {
  const { bench, runs, stop } = await startRow(row)
  try {
    const { path } = kinds[row.kind]
    const begin = clock.now()
    const { status, body, isComplete } = await bench.ask(path)
    const end = clock.now()
    const took = end - begin
    await new Promise<void>(resolve => { clock.after(MAX_LATE, resolve) })
    if ((status === 503 || status === 429) && runs.length > 0) return `answered ${status} and ran`
    const overlap = findOverlap(runs, end)
    if (overlap !== undefined) return overlap
    const isWhole = isComplete && status === 200 && body === buildWholeBody(path)
    if (isWhole) return undefined
    if (isServed(row)) return `status ${status}, ended after ${Math.round(took)} ms with ${body.length} bytes`
    if (isComplete && status === 200) return 'completed with other bytes'
    return took < row.time - 100 || took > row.time + MAX_LATE ? `given up after ${Math.round(took)} ms` : undefined
  } finally {
    await stop()
  }
}

for (const kind of Object.keys(kinds) as ReadonlyArray<Row['kind']>) {
  test.serial(`${kind}: it is answered while its server or another one can, and given up no sooner than at its deadline`, async t => {
    const rows = (Object.keys(slots) as readonly Slots[]).flatMap(how => [1_000, 3_000, Infinity].flatMap(silence => [NEAR, FAR].map(time => ({ kind, slots: how, silence, time }))))
    const faults = await Promise.all(rows.map(async row => ({ row, fault: await findFault(row) })))
    t.deepEqual(faults.filter(({ fault }) => fault !== undefined).map(({ row, fault }) => `slots ${row.slots}, silent for ${row.silence} ms, ${row.time} ms: ${fault!}`), [])
  })
}

for (const how of ['not granted', 'refused', 'free later'] as const) {
  test.serial(`no server works on for a caller that leaves while its server is silent, slots elsewhere ${how}`, async t => {
    const { bench, runs, stop } = await startRow({ kind: 'a resumable stream', slots: how, silence: 3_000, time: FAR })
    t.teardown(stop)
    const asked = request({ host: '127.0.0.1', port: bench.port, path: '/stream/a', method: 'POST', headers: { 'x-request-id': 'a' } })
    asked.on('error', () => {}).end()
    await new Promise<void>(resolve => { clock.after(1_000, resolve) })
    asked.destroy()
    const left = clock.now()
    await new Promise<void>(resolve => { clock.after(LATER, resolve) })
    t.is(runs.length, 1)
    t.is(findOverlap(runs, left), undefined)
  })
}
