import { setTimeout as sleep } from 'node:timers/promises'
import test from 'ava'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'

const ENGINES = 4
const DAEMONS = 3
/** A slot is held long enough that the overhead of a busy machine is small beside it. */
const TOKENS = 60
const EACH = 24
const WARM = 720
const COUNTED = 720
const CALLERS = { 'quay-desk': [0, 1, 2], 'night-desk': [1], 'school-kitchen': [2] }

// Three callers of equal shares overload the servers, one through all three daemons and the others through one each. With even
// allocations the first would get several times as much as the others; by demand at each daemon, all get the same.
test('shares hold where callers use different daemons', async t => {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  await Promise.all([
    ...Array.from({ length: ENGINES }, async (_, i) => await fleet.addServer(`engine-${i}`, `domain-${i}`, { pool: 'charter-engines', kind: 'engine' })),
    ...Array.from({ length: DAEMONS }, async (_, i) => await fleet.addDaemon(`entry-${i}`, `domain-${i}`))
  ])
  const { version, ...configuration } = { version: 0, ...readFolder('demo/folder').unwrap() }
  await fleet.apply({ ...configuration, models: { 'charter-7b': { ...configuration.models['charter-7b']!, maxInFlight: 6 } } })

  const answered: string[] = []
  const ask = async (caller: string, client: CallerClient, n: number): Promise<void> => {
    for (let round = 0; answered.length < WARM + COUNTED; round++) {
      const { status } = await client.chat('berth-assistant', `${caller} ${n} ${round}`, { tokens: TOKENS })
      if (status === 200) answered.push(caller)
      else await sleep(50)
    }
  }
  const loops = Object.entries(CALLERS).flatMap(([caller, daemons]) => Array.from({ length: EACH }, async (_, n) => {
    await ask(caller, new CallerClient(fleet.url(fleet.daemons[daemons[n % daemons.length]!]!), `${caller}-token`), n)
  }))
  await Promise.all(loops)
  const counts = Object.keys(CALLERS).map(caller => answered.slice(WARM, WARM + COUNTED).filter(other => other === caller).length)
  t.log(counts)
  for (const count of counts) t.true(Math.abs(count / (COUNTED / counts.length) - 1) < 0.15, counts.join())
})
