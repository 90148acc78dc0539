// Case 8: batch jobs that were accepted, after the end of all processes.
import { writeFileSync } from 'node:fs'
import { EventEngine } from '../../stand-ins/machines/event-engine.ts'
import { ObjectApi } from '../../stand-ins/machines/object-api.ts'
import { ask, Deployment, sleep } from '../lib-2/fleet.mjs'
import { openPagedStore } from '../lib-2/paged-store.mjs'

const [file] = process.argv.slice(2)
const hasTrouble = process.env.TROUBLE !== '0'
const JOBS = 120
/** Characters of a job's path; its head stays below `max_header_bytes`, 16,384. */
const PATH_LENGTH = 12_000
/** `recovery_s`, and `finish_s` after that, s, of the small deployments. */
const [RECOVERY, FINISH] = [12, 18]
const record = []
const write = (what, detail = {}) => { record.push(JSON.stringify({ at: Math.round(performance.now()), what, ...detail })) }

async function main () {
  const store = new ObjectApi()
  await store.start()
  const front = await openPagedStore(store.port)
  const engines = [0, 1].map(n => new EventEngine({ id: `i-${n}`, slots: 8, pause: 20 }))
  const fleet = new Deployment({ store, storePort: front.port, engines, count: 3 })
  try {
    await fleet.start()
    await sleep(2_000)
    // The servers are full while the jobs are accepted, so that all wait.
    for (const engine of engines) engine.isFull = true
    const accepted = []
    for (let n = 0; n < JOBS; n++) {
      const id = `job-${String(n).padStart(4, '0')}`
      const items = [{ id: `item-${n}`, path: `/sheets/${n}`, headers: { 'X-Model': 'm', 'X-Token-Count': '250,100', 'X-Prompt-Prefix': `a1:100,${n.toString(16)}:150` }, body: 'q83vEjRWeJA=', tokens: 350 }]
      const path = `/sheets/${'m'.repeat(PATH_LENGTH)}/${n}`
      const { status } = await submit(fleet, n, { path, id, items })
      write('submitted', { id, status })
      if (status === 202) accepted.push(id)
    }
    if (accepted.length !== JOBS) throw new Error(`${accepted.length} of ${JOBS} jobs were accepted`)
    await sleep(2_000)
    if (hasTrouble) {
      await fleet.killAll()
      write('all processes were killed')
      await sleep(1_000)
      await fleet.startAll()
      write('all processes are back')
    }
    for (const engine of engines) engine.isFull = false
    write('the servers take work')
    await sleep((RECOVERY + FINISH) * 1_000)
    let lost = 0
    for (const [n, id] of accepted.entries()) {
      const read = await readJob(fleet, n, id)
      write('read', { id, ...read })
      if (read.status !== 200 || read.listed < read.total) lost++
    }
    const runs = engines.flatMap(engine => engine.runs)
    for (const { id, outcome, at } of runs) write('ran', { id, outcome, runAt: Math.round(at) })
    const lastEnd = Math.max(...runs.map(({ at }) => at))
    write('result', { accepted: accepted.length, lost, runs: runs.length, sinceLastRun: Math.round(performance.now() - lastEnd) })
    return lost > 0 ? 1 : 0
  } finally {
    await fleet.stop()
    front.close()
    store.stop()
  }
}

/** Submits a job, at another daemon after each refusal, as its client does. */
async function submit (fleet, n, { path, id, items }) {
  let answer
  for (let tries = 0; tries < 4; tries++) {
    answer = await ask(fleet.daemons[(n + tries) % 3].ports.front, { method: 'POST', path, id, body: JSON.stringify({ items }) })
    if (answer.status === 202) break
    await sleep(500)
  }
  return answer
}

async function readJob (fleet, n, id) {
  for (let tries = 0; ; tries++) {
    const { status, text } = await ask(fleet.daemons[(n + tries) % 3].ports.front, { path: `/api/lots/${id}?after=0`, headers: { 'x-wait-ms': '1000' } })
    if (status !== 200 && tries < 3) continue
    const { total = 0, results = [] } = status === 200 ? JSON.parse(text) : {}
    return { status, total, listed: results.length }
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
