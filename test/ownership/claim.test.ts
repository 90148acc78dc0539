import test from 'ava'
import fc from 'fast-check'
import { isClaimProven, isClaimSettled, stepClaim, type ClaimEvent, type ClaimState } from '../../src/coordination/index.js'

const RUNS = { seed: 11, numRuns: 400 }
const LONGEST = 200
const TIMES = { authority: 300, longestAction: LONGEST, retryPause: 50 }

/** A candidate with its state and the replies that it hasn't handled yet. */
interface Candidate { state: ClaimState, frozenUntil: number, readonly replies: ClaimEvent[] }

/** An order on its way to a server; `by` is the candidate. */
interface Sent { readonly by: number, readonly fencing: number, readonly arrives: number }

/** A store, two candidates that both believe they should hold the claim, and a server that records the orders it applies. */
class World {
  now = 0
  object = { holder: undefined as string | undefined, version: 0 }
  readonly candidates: Candidate[] = [0, 1].map(() => ({ state: { type: 'idle', attempt: 0 }, frozenUntil: 0, replies: [] }))
  sent: Sent[] = []
  readonly applied: Sent[] = []

  constructor (private readonly checksFencing: boolean) {}

  handle (i: number, event: ClaimEvent): void {
    const candidate = this.candidates[i]!
    const { state, effects } = stepClaim(candidate.state, event, this.now, { self: `c${i}`, ...TIMES })
    candidate.state = state
    for (const effect of effects) {
      const { attempt } = effect
      if (effect.type === 'read') candidate.replies.push({ type: 'read', attempt, ...this.object })
      else if (effect.version !== this.object.version) candidate.replies.push({ type: 'failed', attempt })
      else {
        this.object = { holder: `c${i}`, version: this.object.version + 1 }
        candidate.replies.push({ type: 'written', attempt, version: this.object.version })
      }
    }
  }

  /** Runs all steps of a daemon for an order without faults. */
  prove (i: number, delay: number): void {
    const { replies } = this.candidates[i]!
    for (const type of ['want', 'tick', 'confirm'] as const) {
      this.handle(i, { type })
      while (replies.length > 0) this.handle(i, replies.shift()!)
    }
    this.order(i, delay)
  }

  order (i: number, delay: number): void {
    const { state } = this.candidates[i]!
    const options = { self: `c${i}`, ...TIMES }
    if (state.type !== 'held' || !isClaimProven(state, this.now, options)) return
    if (this.checksFencing || isClaimSettled(state, this.now, options)) this.sent.push({ by: i, fencing: state.version, arrives: this.now + delay })
  }

  advance (time: number): void {
    this.now += time
    const due = this.sent.filter(({ arrives }) => arrives <= this.now).sort((a, b) => a.arrives - b.arrives)
    this.sent = this.sent.filter(order => !due.includes(order))
    for (const order of due) {
      if (!this.checksFencing || order.fencing >= (this.applied.at(-1)?.fencing ?? 0)) this.applied.push(order)
    }
  }
}

const step = fc.record({
  who: fc.integer({ min: 0, max: 1 }),
  what: fc.constantFrom('want', 'reply', 'lose', 'confirm', 'order', 'prove', 'prove', 'freeze', 'tick', 'release'),
  time: fc.integer({ min: 0, max: 60 }),
  delay: fc.constantFrom(0, LONGEST / 2, LONGEST)
})

function play (world: World, { who, what, time, delay }: { who: number, what: string, time: number, delay: number }): void {
  const candidate = world.candidates[who]!
  world.advance(time)
  if (world.now < candidate.frozenUntil) return
  switch (what) {
    case 'reply': { const reply = candidate.replies.shift(); if (reply !== undefined) world.handle(who, reply); break }
    case 'lose': { const reply = candidate.replies.shift(); if (reply !== undefined) world.handle(who, { type: 'failed', attempt: (reply as { attempt: number }).attempt }); break }
    case 'order': world.order(who, delay); break
    case 'prove': world.prove(who, delay); break
    // A frozen process resumes with its old state: no `paused` event reaches the claim here.
    case 'freeze': candidate.frozenUntil = world.now + 4 * time; break
    default: world.handle(who, { type: what } as ClaimEvent)
  }
}

for (const checksFencing of [true, false]) {
  // A previous owner that was frozen or lost replies may still send orders: none may take effect after the newer owner's, even at a
  // server that ignores fencing numbers.
  test(`orders take effect in the order of their fencing numbers, fencing ${checksFencing ? 'checked' : 'ignored'}`, t => {
    let orders = 0
    fc.assert(fc.property(fc.array(step, { minLength: 80, maxLength: 200, size: 'max' }), steps => {
      const world = new World(checksFencing)
      for (const each of steps) play(world, each)
      world.advance(LONGEST)
      orders += world.applied.length
      return world.applied.every((order, i) => i === 0 || order.by === world.applied[i - 1]!.by || order.fencing > world.applied[i - 1]!.fencing)
    }), RUNS)
    t.true(orders > 0)
  })
}

test('a claim costs one read and one write, and none while it is held', t => {
  const world = new World(true)
  world.handle(0, { type: 'want' })
  world.handle(0, world.candidates[0]!.replies.shift()!)
  world.handle(0, world.candidates[0]!.replies.shift()!)
  for (let i = 0; i < 20; i++) world.handle(0, { type: 'tick' })
  t.like(world.candidates[0]!.state, { type: 'held', version: 1 })
  t.is(world.object.version, 1)
})

test('a holder that was paused reads the claim before it counts as proven again', t => {
  const world = new World(true)
  world.handle(0, { type: 'want' })
  world.handle(0, world.candidates[0]!.replies.shift()!)
  world.handle(0, world.candidates[0]!.replies.shift()!)
  world.handle(0, { type: 'paused' })
  t.false(isClaimProven(world.candidates[0]!.state, 0, { self: 'c0' }))
})
