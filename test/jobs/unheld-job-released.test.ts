import 'reflect-metadata'
import test from 'ava'
import type { StoreError } from '../../src/store/store-error.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const [OWNER, CONFIRMER] = [names[0]!, names[1]!]
const NEW_JOB = { host: 'h', path: '/jobs/' }
/**
 * Time after the confirmation by which a live daemon owns the job, ms: until the owner's registry has it (four comparisons of 0.5 s), the wait for
 * another owner (2 s) and its check (0.5 s), the check of the others (0.5 s), and a takeover (0.5 s).
 */
const BOUND = 5_500
const HOLD = 5_000

const refusals: readonly StoreError[] = [{ type: 'limited', retryAfter: 100 }, { type: 'unavailable', reason: 'cut off' }]

// Guards against a confirmed job that its owner doesn't have and can't read, which every other daemon leaves to that owner.
for (const error of refusals) {
  for (const job of ['j', 'k', 'l', 'm', 'n']) {
    test(`a job (${job}) whose owner lacks it and is refused by the store (${error.type}) is taken over by another daemon`, async t => {
      const fleet = new JobFleet()
      await fleet.start()
      fleet.storeFault = (daemon, { call }) => daemon === OWNER && call === 'put' ? { loseReply: { type: 'unknown', reason: 'reset' } } : 'none'
      t.is((await fleet.daemons.get(OWNER)!.owner.accept(job, NEW_JOB, items)).err, true)
      fleet.storeFault = daemon => daemon === OWNER ? { fail: error } : 'none'
      const { owner, reader } = fleet.daemons.get(CONFIRMER)!
      t.like(await owner.accept(job, NEW_JOB, items), { val: { type: 'conflict' } })
      void reader.ensureRunning(job)
      for (const time of [BOUND, HOLD]) {
        await fleet.time.advance(time)
        const owners = [...fleet.daemons.values()].filter(({ owner }) => owner.find(job) !== undefined).map(({ name }) => name)
        t.is(owners.length, 1, `owners: ${owners.join(' and ') || 'none'}`)
      }
    })
  }
}
