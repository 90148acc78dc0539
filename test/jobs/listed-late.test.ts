import 'reflect-metadata'
import test from 'ava'
import { rankOwners } from '../../src/coordination/rank-owners.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
const OWNER = names[0]!
/** The daemon that lists the stored jobs after the owner's process has ended, until that succeeds. */
const FIRST = rankOwners(`${OWNER} 1`, names.slice(1))[0]!
/** How long the store refuses all listings, ms: longer than jobs are listed often after a change of processes. */
const TROUBLE = 34_000
/**
 * Time after that by which the job is owned, ms: the first-ranked daemon of a turn may be the one that stays refused, thus two periods of 20 s
 * between listings, a check (0.5 s), a publication (1 s), the wait for an owner that isn't a member (5 s) and its check, and a rank (4 s).
 */
const BOUND = 51_000

// Guards against a job that only the store holds and that nobody looks for, since no other job is open.
for (const [title, fail] of Object.entries({ 'can not be listed': { fail: { type: 'limited', retryAfter: 100 } }, 'lists an old state': 'old read' } as const)) {
  test(`a job that no registry has is found after a store ${title} for longer than it is searched often`, async t => {
    const fleet = new JobFleet()
    await fleet.start()
    fleet.store.keepSnapshot()
    fleet.loses = from => from === OWNER
    t.true((await fleet.daemons.get(OWNER)!.owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)).ok)
    fleet.kill(OWNER)
    const until = fleet.time.now() + TROUBLE
    fleet.storeFault = (daemon, { call }) => call === 'list' && (daemon === FIRST || fleet.time.now() < until) ? fail : 'none'
    await fleet.time.advance(TROUBLE + BOUND)
    const owners = [...fleet.daemons.values()].filter(({ clock, owner }) => !clock.isPaused && owner.find(JOB) !== undefined)
    t.is(owners.length, 1)
  })
}
