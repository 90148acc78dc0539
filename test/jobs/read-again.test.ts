import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { ReadAgainTrial, type DaemonCase, type MessageCase, type ReadAgainCase, type Scope, type StoreCase } from '../helpers/read-again-trial.js'

const STORES: readonly StoreCase[] = ['none', 'late', 'lost', 'silent', 'busy', 'limited', 'reset', 'slow', 'dropped']
const SCOPES: readonly Scope[] = ['owner', 'others', 'all']
const MESSAGES: readonly MessageCase[] = ['none', 'cut', 'lost to the owner', 'lost from the owner', 'lost', 'late']
const DAEMONS: readonly DaemonCase[] = ['none', 'owner paused', 'owner suspended', 'owner restarted', 'owner killed', 'owner drained', 'all restarted', 'two owners killed', 'reader restarted']
/** The first seed, and which share of the combinations is played: one in so many. */
const SEED = Number(process.env.READ_AGAIN_SEED ?? 1)
const ONE_IN = Number(process.env.READ_AGAIN_ONE_IN ?? 4)

/** Lists a random share of the combinations, each with its own seed. */
function listCases (store: StoreCase): readonly ReadAgainCase[] {
  const random = new Random(SEED * 1_000 + STORES.indexOf(store))
  const scopes = store === 'none' ? SCOPES.slice(0, 1) : SCOPES
  const cases = scopes.flatMap(scope => MESSAGES.flatMap(messages => DAEMONS.map(daemons => ({ store, scope, messages, daemons, seed: random.below(1_000_000) }))))
  return cases.filter(() => random.below(ONE_IN) === 0)
}

// Guards, for every state of the store, messages and daemons, against a daemon that has nothing at a position which a caller has read a second
// ago at any daemon, and against daemons that answer 503 for good.
for (const store of STORES) {
  test.serial(`what was read is read again at every daemon: store ${store}`, async t => {
    const failed: string[] = []
    const sums = { reads: 0, unsure: 0, get: 0, put: 0, watch: 0, messages: 0, seenAt: 0, seen: 0 }
    const cases = listCases(store)
    for (const trial of cases) {
      const { failures, reads, unsure, calls, messages, seenAt } = await new ReadAgainTrial(trial).play()
      if (failures.length > 0) failed.push(`${JSON.stringify(trial)}: ${failures[0]} (${failures.length})`)
      sums.reads += reads
      sums.unsure += unsure
      sums.get += calls.get ?? 0
      sums.put += calls.put ?? 0
      sums.watch += calls.watch ?? 0
      sums.messages += messages
      sums.seenAt += seenAt.reduce((sum, at) => sum + at, 0)
      sums.seen += seenAt.length
    }
    t.log(`${cases.length} runs, ${failed.length} failed`, sums)
    t.deepEqual(failed, [], `${failed.length} of ${cases.length} runs`)
  })
}
