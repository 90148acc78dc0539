import test from 'ava'
import fc from 'fast-check'
import { Random } from '../../src/kernel/random.js'
import type { BackendServer } from '../../src/routing/servers/backend-server.js'
import { chooseServer } from '../../src/routing/servers/choose-server.js'
import { planDaemonLimit } from '../../src/routing/servers/plan-daemon-limit.js'
import { stepServerHealth } from '../../src/routing/servers/step-server-health.js'
import { simulateChoice } from '../helpers/simulate-choice.js'

const server = fc.record({
  name: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
  pool: fc.constant('pool'),
  failureDomain: fc.constantFrom('x', 'y'),
  version: fc.constant(''),
  url: fc.constant(''),
  leaving: fc.boolean(),
  inFlight: fc.nat(10),
  load: fc.nat(20),
  limit: fc.nat(10)
})
const servers = fc.uniqueArray(server, { selector: ({ name }) => name, maxLength: 5 })

function isOpen ({ leaving, inFlight, limit }: BackendServer, highest: number): boolean {
  return !leaving && inFlight < Math.min(limit, highest)
}

test('never chooses a leaving, excluded or full server, and chooses one whenever one is open', t => {
  t.notThrows(() => fc.assert(fc.property(servers, fc.nat(10), fc.option(fc.string(), { nil: undefined }), fc.subarray(['a', 'b']), (all, limit, key, excluded) => {
    const open = all.filter(each => isOpen(each, limit) && !excluded.includes(each.name))
    const chosen = chooseServer(all, { random: new Random(1), limit, key, excluded })
    return chosen === undefined ? open.length === 0 : open.some(({ name }) => name === chosen.name)
  }), { seed: 7, numRuns: 1_000 }))
})

test('avoids a failure domain while a server in another one is open', t => {
  t.notThrows(() => fc.assert(fc.property(servers, all => {
    const chosen = chooseServer(all, { random: new Random(1), limit: 10, avoided: ['x'] })
    return chosen?.failureDomain !== 'x' || all.every(each => each.failureDomain === 'x' || !isOpen(each, 10))
  }), { seed: 7, numRuns: 500 }))
})

test('affinity hits cached prefixes far more often than two random choices, at a bounded load', t => {
  const [choices, affinity, unbounded] = (['two choices', 'affinity', 'affinity without bound'] as const).map(policy => simulateChoice({ policy, requests: 8_000 }))
  t.log({ choices, affinity, unbounded })
  t.true(affinity!.hits > choices!.hits + 0.1)
  t.true(affinity!.hits > unbounded!.hits - 0.1)
  t.true(affinity!.unevenness < unbounded!.unevenness - 0.2)
})

test('daemons that know nothing of each other keep to the limit, and a single one may use all of it', t => {
  t.notThrows(() => fc.assert(fc.property(fc.integer({ min: 1, max: 64 }), fc.integer({ min: 1, max: 400 }), (limit, daemons) => {
    return planDaemonLimit({ limit, others: undefined, daemons }) * daemons < limit + daemons && planDaemonLimit({ limit, others: 0, daemons }) === limit
  }), { seed: 7, numRuns: 500 }))
})

// Guards against sending to a server that doesn't answer, and against keeping it ejected after it has recovered.
test('a server is ejected after three failures, probed, and in use again after one answer', t => {
  const fail = (health: ReturnType<typeof stepServerHealth>, now: number): ReturnType<typeof stepServerHealth> => stepServerHealth(health, 'failed', now)
  const two = fail(fail(undefined, 0), 0)
  t.is(two?.ejectedUntil, 0)
  const ejected = fail(two, 0)
  t.is(ejected?.ejectedUntil, 500)
  t.is(fail(ejected, 600)?.ejectedUntil, 1_600)
  t.is(stepServerHealth(ejected, 'answered', 600), undefined)
  t.is(stepServerHealth(undefined, 'unreachable', 0)?.ejectedUntil, 500)
})
