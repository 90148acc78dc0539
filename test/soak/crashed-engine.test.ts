import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { readRawAnswer } from '../helpers/read-raw-answer.js'

const PAUSE = 20 // ms

// Guards against a crash of the stand-in that ends an answer as if it were whole, since nothing but its connection marks its end.
for (const unmarkedRuns of [0, 1]) {
  test(`an answer of an engine that crashes between two events is incomplete, ${unmarkedRuns === 0 ? 'in chunks' : 'with neither a length nor chunks'}`, async t => {
    const engine = new EventEngine({ id: 'e', events: 20, pause: PAUSE })
    await engine.start()
    engine.unmarkedRuns = unmarkedRuns
    const answer = readRawAnswer(engine.port, '/stream', { 'x-request-id': 'r' })
    while ((engine.runs[0]?.events ?? 0) < 3) await new Promise(resolve => setTimeout(resolve, 1))
    await new Promise(resolve => setTimeout(resolve, PAUSE / 2))
    engine.stop()
    t.false((await answer).isComplete)
  })
}
