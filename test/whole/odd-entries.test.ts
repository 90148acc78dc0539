import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { registerEngine } from '../../stand-ins/machines/register-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { OddStore } from '../helpers/odd-store.js'
import { startMachines } from '../helpers/start-machines.js'

// Guards against one odd entry among those of the servers, of another writer, under which daemons end or no longer follow the list.

const DEPTH = 200_000
const LONG = 600_000

function build (spec: string, { name = '"odd"', revision = '7' } = {}): string {
  return `{"metadata":{"name":${name},"revision":${revision},"created":1,"finalizers":[],"deleting":false},"spec":${spec},"status":null}`
}

function buildServer (fields: Readonly<Record<string, string>>): string {
  const all = { service: '"helm"', addr: '"127.0.0.1:9"', zone: '"a"', version: '"v1"', slots: '8', state: '"ready"', cold_left_ms: '0', seq: '1', born: '1700000000000', ...fields }
  return `{${Object.entries(all).map(([name, value]) => `"${name}":${value}`).join(',')}}`
}

const deep = '['.repeat(DEPTH) + ']'.repeat(DEPTH)
const deepObject = '{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH)
const long = `"${'x'.repeat(LONG)}"`
const digits = '9'.repeat(400)

const cases: Readonly<Record<string, readonly string[]>> = {
  'nested deeply': [build(deep), build(deepObject), ...['service', 'addr', 'zone', 'version', 'slots', 'state', 'born', 'other'].map(field => build(buildServer({ [field]: deep }))), build('{}', { name: deep }), build('{}', { revision: deep }), deepObject],
  'with numbers that are too large': [...['slots', 'born', 'seq', 'cold_left_ms'].flatMap(field => ['1e400', '-1e400', digits, '1e308', '9007199254740993', '1e15', '-1', '0.5'].map(value => build(buildServer({ [field]: value })))), build(buildServer({}), { revision: '1e400' }), build(buildServer({}), { revision: digits }), build(buildServer({}), { revision: '-1' })],
  'with addresses that none can have': ['127.0.0.1:65536', '127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1:-1', '127.0.0.1:1e3', '999.1.1.1:80', '256.0.0.1:80', '1.2.3:80', '127.0.0.1', ':80', '', 'localhost:80', '[::1]:80', '127.0.0.1:80/x', '127.0.0.1:80\\u0000'].map(address => build(buildServer({ addr: `"${address}"` }))),
  'with texts that are too long': [...['service', 'addr', 'zone', 'version', 'state'].map(field => build(buildServer({ [field]: long }))), build(buildServer({}), { name: long })],
  'with names that objects have': ['__proto__', 'constructor', 'toString', '', '..', '\\u0000', '\\ud800'].map(name => build(buildServer({ service: `"${name}"`, version: `"${name}"`, zone: `"${name}"` }), { name: `"${name}"` })),
  'of other types': ['null', '1', '"x"', '[]', 'true', '{"metadata":null}', '{"metadata":[],"spec":{}}', '{}', build('null'), build('[]'), build('"x"'), build('1'), build(buildServer({ state: 'null', service: '1', version: '{}', zone: '[]' }))]
}

for (const [name, entries] of Object.entries(cases)) {
  test.serial(`daemons live and follow the servers beside entries ${name}`, async t => {
    const odd = new OddStore()
    let opened: Promise<number> | undefined
    const [first, second, third] = ['i-0', 'i-1', 'i-2'].map(id => new EventEngine({ id, events: 3, pause: 1, slots: 64 })) as [EventEngine, EventEngine, EventEngine]
    const fleet = await startMachines(3, [first], { resolveStoreAddress: async (_daemon, port) => `127.0.0.1:${await (opened ??= odd.open(port))}` })
    t.teardown(async () => {
      await fleet.stop()
      odd.close()
      second.stop()
      third.stop()
    })
    const pids = fleet.daemons.map(({ child }) => child!.pid)
    const ends: string[] = []
    for (const { child } of fleet.daemons) void child!.waitForExit().then(code => ends.push(`${code} ${child!.errors.slice(0, 500)}`))
    let asked = 0
    const askAll = async (): Promise<readonly number[]> => await Promise.all(fleet.daemons.map(async ({ ports }) => (await callDaemon(ports.front, `/quotes/${asked++}`)).status))
    const follow = async (engine: EventEngine): Promise<void> => {
      await engine.start()
      registerEngine(fleet.store, engine)
      await fleet.waitUntil(`${engine.id} is used`, async () => {
        await askAll()
        return engine.runs.length > 2
      })
    }
    odd.entries = entries
    await follow(second)
    fleet.store.remove('servers', first.id)
    await new Promise(resolve => setTimeout(resolve, 2_000))
    const { length } = first.runs
    for (let n = 0; n < 5; n++) t.deepEqual(await askAll(), [200, 200, 200])
    t.is(first.runs.length, length)
    // A daemon that starts reads the entries as a list, not as changes.
    const [daemon] = fleet.daemons
    daemon!.child!.signal('SIGTERM')
    await daemon!.child!.waitForExit()
    ends.length = 0
    await fleet.startDaemon(daemon!)
    await follow(third)
    t.deepEqual(ends, [])
    t.deepEqual(fleet.daemons.slice(1).map(({ child }) => child!.pid), pids.slice(1))
  })
}
