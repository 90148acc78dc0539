// Case 6: batch jobs that were accepted, after the operator has added a route.
import { writeFileSync } from 'node:fs'
import { EventEngine } from '../../stand-ins/machines/event-engine.ts'
import { ObjectApi } from '../../stand-ins/machines/object-api.ts'
import { ask, createConfiguration, Deployment, HOST, sleep } from '../lib-2/fleet.mjs'

const [file] = process.argv.slice(2)
const hasTrouble = process.env.TROUBLE !== '0'
const [JOBS, ITEMS] = [6, 5]
/** `config_apply_ms` and `finish_s` of the small deployments, s. */
const [APPLY, FINISH] = [2, 18]
const record = []
const write = (what, detail = {}) => { record.push(JSON.stringify({ at: Math.round(performance.now()), what, ...detail })) }

/** The second version has one more route, of streams: with trouble under the prefix of the batch route, else beside it. */
function createNext () {
  const { routes, ...others } = createConfiguration(2)
  const added = { host: HOST, service: 'label', priority: 0, name: 'friday', path_prefix: hasTrouble ? '/sheets/friday/' : '/friday/', kind: 'streaming', timeout_ms: 5_000, slo_ms: 300, gap_slo_ms: 250, attempts: 2, resumable: true }
  return { ...others, routes: [...routes, added] }
}

async function main () {
  const store = new ObjectApi()
  await store.start()
  // An item takes 8 s: 80 events, 100 ms apart.
  const engines = [0, 1].map(n => new EventEngine({ id: `i-${n}`, slots: 8, events: 80, pause: 100 }))
  const fleet = new Deployment({ store, storePort: store.port, engines, count: 3 })
  try {
    await fleet.start()
    await sleep(2_000)
    const accepted = []
    for (let n = 0; n < JOBS; n++) {
      const id = `7c41e09b52d6a3f${n}`
      const items = Array.from({ length: ITEMS }, (_, i) => ({ id: `item-${n}-${i}`, path: `/sheets/${n}/${i}`, headers: { 'X-Model': 'm', 'X-Token-Count': '250,100', 'X-Prompt-Prefix': `a1:100,${n}f${i}:150` }, body: 'q83vEjRWeJA=', tokens: 350 }))
      const { status } = await ask(fleet.daemons[n % 3].ports.front, { method: 'POST', path: `/sheets/friday/kitchen-${n}`, id, body: JSON.stringify({ items }) })
      write('submitted', { id, status })
      if (status === 202) accepted.push(id)
    }
    if (accepted.length !== JOBS) throw new Error(`${accepted.length} of ${JOBS} jobs were accepted`)
    await sleep(1_000)
    const next = createNext()
    store.put('config', 'main', next)
    write('the store has accepted version 2', { added: next.routes.at(-1) })
    await sleep((APPLY + FINISH + 8) * 1_000)
    const refused = engines.flatMap(({ runs }) => runs).filter(({ outcome }) => outcome === 'broken').length
    let wrong = 0
    for (const [n, id] of accepted.entries()) {
      const { status, text } = await ask(fleet.daemons[n % 3].ports.front, { path: `/api/lots/${id}?after=0`, headers: { 'x-wait-ms': '1000' } })
      const { total = 0, results = [] } = status === 200 ? JSON.parse(text) : {}
      write('read', { id, status, total, states: results.map(({ id, state }) => `${id} ${state}`) })
      wrong += results.filter(({ state }) => state === 'errored').length
    }
    for (const { id, outcome, at, events } of engines.flatMap(({ runs }) => runs)) write('ran', { id, outcome, events, runAt: Math.round(at) })
    write('result', { items: JOBS * ITEMS, errored: wrong, failedAtServers: refused })
    return wrong > 0 ? 1 : 0
  } finally {
    await fleet.stop()
    store.stop()
  }
}

process.once('SIGTERM', () => process.exit(2))
main().catch(error => {
  write('could not run', { error: error.stack })
  return 2
}).then(code => {
  writeFileSync(file, `${record.join('\n')}\n`)
  process.stdout.write(`${record.at(-1)}\n`)
  process.exit(code)
})
