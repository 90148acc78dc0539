import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { createWireConfiguration } from '../helpers/create-wire-configuration.js'
import { startMachines } from '../helpers/start-machines.js'

const ITEMS = 4
/** Time after which the items of a job without a route are given up, with time for the new configuration, ms. */
const GIVEN_UP_AFTER = 7_000
const ROUTE = { host: 'desk.example', name: 'added', path_prefix: '/drafts/friday/', timeout_ms: 5_000, slo_ms: 300, priority: 0, service: 'helm', attempts: 2 }

interface Case { readonly name: string, readonly added: object, readonly isKilled: boolean }

const cases: readonly Case[] = [
  { name: 'a route of streams', added: { ...ROUTE, kind: 'streaming', resumable: true }, isKilled: false },
  { name: 'a route of jobs that leads elsewhere', added: { ...ROUTE, kind: 'batch', service: 'rudder', run_aim_ms: 18_000, max_wait_s: 60, cap: 1_000 }, isKilled: false },
  { name: 'a route of streams, and all daemons are killed,', added: { ...ROUTE, kind: 'streaming', resumable: true }, isKilled: true }
]

for (const { name, added, isKilled } of cases) {
  // Guards against accepted items that are given up, or sent to another service, because a route with a longer prefix is added.
  test(`items of an accepted job run where ${name} is added below its route`, async t => {
    const engine = new EventEngine({ id: 'i-0', events: 80, pause: 110 })
    const fleet = await startMachines(2, [engine], {}, { services: [{ name: 'helm' }, { name: 'rudder' }] })
    t.teardown(async () => { await fleet.stop() })
    const { front } = fleet.daemons[0]!.ports
    const items = Array.from({ length: ITEMS }, (_, i) => ({ id: `item-${i}`, path: `/drafts/${i}`, headers: { 'X-Model': 'm' }, body: 'eA==', tokens: 10 }))
    const submit = async (): Promise<number> => (await callDaemon(front, '/drafts/friday/1', { id: 'job', body: { items } })).status
    t.is(await submit(), 202)
    await fleet.waitUntil('an item runs', () => engine.runs.length > 0)
    const { routes } = createWireConfiguration(2) as { readonly routes: readonly object[] }
    fleet.store.put('config', 'main', createWireConfiguration(2, { routes: [...routes, added], services: [{ name: 'helm' }, { name: 'rudder' }] }))
    if (isKilled) {
      for (const { child } of fleet.daemons) child!.signal('SIGKILL')
      for (const daemon of fleet.daemons) await fleet.startDaemon(daemon)
    }
    await new Promise(resolve => setTimeout(resolve, GIVEN_UP_AFTER))
    t.is(await submit(), 202)
    await fleet.waitUntil('all items have run', () => engine.runs.filter(({ outcome }) => outcome === 'whole').length >= ITEMS)
    const states = async (): Promise<readonly string[]> => {
      const { status, text } = await callDaemon(front, '/api/lots/job?after=0', { method: 'GET' })
      return status === 200 ? JSON.parse(text).results.map(({ state }: { readonly state: string }) => state) : []
    }
    await fleet.waitUntil('all are listed', async () => (await states()).length === ITEMS)
    t.deepEqual(await states(), Array.from({ length: ITEMS }, () => 'completed'))
  })
}
