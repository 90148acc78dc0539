import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { registerEngine } from '../../stand-ins/machines/register-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { createWireConfiguration } from '../helpers/create-wire-configuration.js'
import { startMachines } from '../helpers/start-machines.js'

const ITEMS = 4
const REPORT_DELAY = 700 // ms
/** Time within which each daemon has a new configuration in force, ms. */
const IN_FORCE_AFTER = 500
const SERVICES = { services: [{ name: 'helm' }, { name: 'rudder' }] }

interface WireRoute { readonly name: string }
interface Case { readonly change: string, readonly edit: (route: WireRoute) => readonly object[], readonly runs: number }

const cases: readonly Case[] = [
  { change: 'goes to another service', edit: route => [{ ...route, service: 'rudder' }], runs: ITEMS },
  { change: 'is removed', edit: () => [], runs: 0 }
]

for (const { change, edit, runs } of cases) {
  // Guards against an item that waits for a connection and is sent to a service to which its route no longer leads.
  test.serial(`items that wait for a server while their route ${change} aren't sent to it`, async t => {
    const [late, sound] = [new EventEngine({ id: 'i-0' }), new EventEngine({ id: 'i-1' })]
    const fleet = await startMachines(2, [late], {}, SERVICES)
    await sound.start()
    t.teardown(async () => {
      await fleet.stop()
      sound.stop()
    })
    registerEngine(fleet.store, sound, { service: 'rudder' })
    late.reportDelay = REPORT_DELAY
    late.closesReports = true
    const { front } = fleet.daemons[0]!.ports
    const items = Array.from({ length: ITEMS }, (_, i) => ({ id: `item-${i}`, path: `/drafts/${i}`, headers: { 'X-Model': 'm' }, body: 'eA==', tokens: 10 }))
    t.true((await callDaemon(front, '/drafts/', { id: 'job', body: { items } })).status < 300)
    await fleet.waitUntil('an item waits for the report', () => late.reports > 0)
    const { routes } = createWireConfiguration(2) as { readonly routes: readonly WireRoute[] }
    const changed = performance.now()
    fleet.store.put('config', 'main', createWireConfiguration(2, { ...SERVICES, routes: routes.flatMap(route => route.name === 'drafts' ? edit(route) : [route]) }))
    await fleet.waitUntil('no item waits for a connection', () => performance.now() > changed + 4 * REPORT_DELAY)
    t.deepEqual(late.runs.map(({ at }) => Math.round(at - changed)).filter(after => after > IN_FORCE_AFTER), [])
    if (runs > 0) await fleet.waitUntil('all run at the other service', () => sound.runs.filter(({ outcome }) => outcome === 'whole').length === runs)
    t.is(sound.runs.length, runs)
  })
}
