import test from 'ava'
import { request } from 'undici'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { ThreadedEngine } from '../helpers/threaded-engine.js'

const EVENTS = 20
/** Much longer than the run takes. */
const BLOCKED = 1_000

// Guards against an engine that stands still while the test's thread is busy: a daemon takes it for silent and leaves it, so that tests
// of other failures see one more.
test('an engine in a thread of its own goes on while the thread of the test is blocked', async t => {
  const engine = new ThreadedEngine({ id: 'i-1', events: EVENTS, pause: 5 })
  try {
    await engine.start()
    const answer = await request(`http://127.0.0.1:${engine.port}/quotes/1`, { method: 'POST', headers: { 'x-request-id': 'r' } })
    const end = performance.now() + BLOCKED
    while (performance.now() < end);
    const [run] = await engine.readRuns()
    t.like(run, { outcome: 'whole', events: EVENTS, path: '/quotes/1' })
    t.true((await answer.body.text()).endsWith(`${EventEngine.buildEventData('/quotes/1', EVENTS)}\n\n`))
  } finally {
    engine.stop()
  }
})
