import type { Random } from '../../kernel/random.js'
import { isSmallFleet } from '../../peers/is-small-fleet.js'
import { listOthers } from '../../peers/list-others.js'

/** Number of daemons that get records in a large fleet. */
const RECORD_RECEIVERS = 3

/** Chooses the daemons to which records are sent: all others, or a few at random in a large fleet. */
export function chooseReceivers (members: Parameters<typeof listOthers>[0], instance: string, random: Random): readonly string[] {
  const others = [...listOthers(members, instance)]
  if (isSmallFleet(members)) return others
  return Array.from({ length: Math.min(RECORD_RECEIVERS, others.length) }, () => others.splice(random.below(others.length), 1)[0]!)
}
