import test from 'ava'
import { request } from 'undici'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'

const EVENTS = 50
const PAUSE = 20 // ms
/** How long the event loop is blocked again and again, ms: longer than the time between two events. */
const BLOCK = 50

// Guards against streams that pass their deadline and are cut, because the stand-in adds up how late its timers are.
test('a run whose events are late takes no longer than its events and one block of the event loop', async t => {
  const engine = new EventEngine({ id: 'i-1', events: EVENTS, pause: PAUSE })
  await engine.start()
  const blocking = setInterval(() => {
    for (const end = performance.now() + BLOCK; performance.now() < end;);
  }, 1)
  t.teardown(() => {
    clearInterval(blocking)
    engine.stop()
  })
  const began = performance.now()
  const { body } = await request(`http://127.0.0.1:${engine.port}/quotes/1`, { method: 'POST' })
  const text = await body.text()
  t.is(text.split('\n\n').length - 1, EVENTS)
  // Beside the run, the connection, the request and its end each wait for a block or two.
  t.true(performance.now() - began < EVENTS * PAUSE + 10 * BLOCK, `${performance.now() - began} ms`)
})
