import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { registerEngine } from '../../stand-ins/machines/register-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { startMachines } from '../helpers/start-machines.js'

const REQUESTS = 8
/** Time until a server answers a request for its report, ms. */
const REPORT_DELAY = 700
/** Time within which each daemon knows of a change in the store, ms. */
const KNOWN_AFTER = 500

/** A server that closes its connections behind its report is asked on two in turn. */
const cases = [
  { work: 'resumable streams', path: '/quotes/', closesReports: false },
  { work: 'streams that run once', path: '/berths/', closesReports: true },
  { work: 'items', path: '/drafts/', closesReports: true }
] as const

for (const { work, path, closesReports } of cases) {
  for (const leaving of ['drains', 'is removed'] as const) {
    // Guards against a request that waits for a connection to a server and is sent to it after the daemon has learned that it leaves.
    test.serial(`${work} that wait for the report of a server which ${leaving} meanwhile run elsewhere`, async t => {
      const [late, sound] = [new EventEngine({ id: 'i-0' }), new EventEngine({ id: 'i-1' })]
      const fleet = await startMachines(2, [late])
      await sound.start()
      t.teardown(async () => {
        await fleet.stop()
        sound.stop()
      })
      late.reportDelay = REPORT_DELAY
      late.closesReports = closesReports
      const { front } = fleet.daemons[0]!.ports
      const items = Array.from({ length: REQUESTS }, (_, i) => ({ id: `item-${i}`, path: `${path}${i}`, headers: { 'X-Model': 'm' }, body: 'eA==', tokens: 10 }))
      const sent = work === 'items' ? [callDaemon(front, path, { id: 'job', body: { items } })] : items.map(async item => await callDaemon(front, item.path))
      await fleet.waitUntil('a request waits for the report', () => late.reports > 0)
      registerEngine(fleet.store, sound)
      const left = performance.now()
      if (leaving === 'drains') registerEngine(fleet.store, late, { state: 'draining' })
      else fleet.store.remove('servers', late.id)
      const statuses = (await Promise.all(sent)).map(({ status }) => status)
      t.deepEqual(statuses.filter(status => status >= 300), [])
      await fleet.waitUntil('all have run', () => new Set([...late.runs, ...sound.runs].filter(({ outcome }) => outcome === 'whole').map(run => run.path)).size === REQUESTS)
      t.deepEqual(late.runs.map(({ at }) => Math.round(at - left)).filter(after => after > KNOWN_AFTER), [])
    })
  }
}
