import type { Clock } from '../kernel/clock.js'
import type { Random } from '../kernel/random.js'
import { failUnreachable } from '../kernel/unreachable.js'
import type { PartBlame } from '../routing/blame/part-blame.js'
import type { PartDecision } from '../routing/blame/part-decision.js'

/**
 * How long items wait for trials of a suspect part by others that bring no news, ms, by up to a third more or less: the daemon that holds
 * the grant may be unable to begin, and messages may be lost. Daemons differ, so that their first runs follow one another.
 */
const MAX_TRIAL_WAIT = 7_500
/** The same for trials of a refused part, for which items have waited before, ms, by up to two thirds more or less. */
const MAX_REFUSED_TRIAL_WAIT = 1_500
/**
 * How long items may then begin a trial without a grant, ms, before they wait again: the daemons that have waited must not all begin at once.
 * The shorter one, for a refused part, is a few requests for slots long.
 */
const START_WINDOW = 500
const REFUSED_START_WINDOW = 200
/** A wait that nothing has asked about for this long has ended, ms. */
const FORGET_AFTER = 2_000
const MAX_WAITS = 300

interface Wait { readonly since: number, readonly limit: number, readonly seenAt: number }

interface ItemTrialsOptions {
  readonly blame: Pick<PartBlame, 'check' | 'tellTrial'>
  readonly clock: Pick<Clock, 'now'>
  readonly random: Random
  /** Counts this daemon's items that run as trials of the part. */
  readonly countTrials: (part: string) => number
}

/** Decides whether items run by the parts of their prompts. Unlike requests, items have no deadline, so that each wait has an end of its own. */
export class ItemTrials {
  private readonly waits = new Map<string, Wait>()

  constructor (private readonly options: ItemTrialsOptions) {}

  /** Decides whether an item with these parts may start now. One with a part that is tried starts only while no more trials of it run here than are allowed. */
  check (parts: readonly string[]): PartDecision {
    const { blame, countTrials } = this.options
    const decision = blame.check(parts, { isItem: true })
    switch (decision.type) {
      case 'refused': return decision
      case 'clear': return decision.trial !== undefined && countTrials(decision.trial) >= (decision.limit ?? 1) ? { type: 'wait', part: decision.trial } : decision
      case 'wait': return this.hasWaited(decision) && countTrials(decision.part) === 0 ? { type: 'clear', trial: decision.part } : decision
      default: return failUnreachable(decision)
    }
  }

  /** Tells the other daemons that an item begins as a trial of the part, so that their items don't begin theirs as well. */
  begin (part: string): void {
    this.options.blame.tellTrial(part)
  }

  /** Whether items have waited long enough since the last server that the part cost, and no other daemon has just begun a trial. */
  private hasWaited ({ part, lostAt = -Infinity, begunUntil = -Infinity, isRefused = false }: Extract<PartDecision, { type: 'wait' }>): boolean {
    const { clock, random } = this.options
    const now = clock.now()
    const known = this.waits.get(part)
    const isGoing = known !== undefined && now < known.seenAt + FORGET_AFTER && now < Math.max(known.since + known.limit, lostAt + known.limit, begunUntil) + (isRefused ? REFUSED_START_WINDOW : START_WINDOW)
    const wait = isGoing ? known : { since: now, limit: isRefused ? random.spread(MAX_REFUSED_TRIAL_WAIT, 2 / 3) : random.spread(MAX_TRIAL_WAIT, 1 / 3) }
    this.waits.set(part, { ...wait, seenAt: now })
    if (this.waits.size > MAX_WAITS) for (const [other, { seenAt }] of this.waits) if (now >= seenAt + FORGET_AFTER) this.waits.delete(other)
    return now >= Math.max(wait.since, lostAt) + wait.limit && now >= begunUntil
  }
}
