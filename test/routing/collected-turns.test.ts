import test from 'ava'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { SystemClock } from '../../src/kernel/system-clock.js'
import type { PlacementRequest } from '../../src/placement/placement-request.js'
import { SlotSearch } from '../../src/routing/slot-search.js'

const SEARCHES = 20
const COLLECT_PERIOD = 50 // ms
/** Time within which a search has asked at several groups of servers in turn, ms. */
const SEVERAL_TURNS = 2_500

// Guards against a search for another server that never moves on because the garbage collector has removed the end of its turn.
test('a request that waits for another server asks in turns though garbage is collected', async t => {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  const collecting = setInterval(collect, COLLECT_PERIOD)
  const counts = Array.from({ length: SEARCHES }, () => 0)
  const silences = counts.map((_, i) => {
    const end = new AbortController()
    const request = (asked: PlacementRequest): void => {
      counts[i]!++
      asked.signal!.addEventListener('abort', () => asked.refuse({ cause: 'overloaded', ran: 'not run', retryAfter: 0, detail: '' }), { once: true })
    }
    const options = {
      request: { id: 'a', route: {}, arrived: 0, asked: 0 },
      tools: { clock: new SystemClock(), random: { spread: (mean: number) => mean }, log: { write: () => {} }, loads: { outcomes: { record: () => {} } }, queue: { request } },
      origin: { findLack: () => undefined, findVersion: () => undefined },
      signal: end.signal
    }
    const search = new SlotSearch(options as unknown as ConstructorParameters<typeof SlotSearch>[0])
    void search.waitElsewhere('server', { abandon: () => {}, signal: end.signal }, () => ({ service: 'helm', tried: [], progressAt: undefined, mayRetry: true }))
    return end
  })
  await new Promise(resolve => setTimeout(resolve, SEVERAL_TURNS))
  clearInterval(collecting)
  for (const end of silences) end.abort()
  t.deepEqual(counts.filter(count => count < 3), [])
})
