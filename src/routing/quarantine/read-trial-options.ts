import type { Members } from '../../peers/members.js'
import type { Quarantine } from './quarantine.js'
import type { stepTrials } from './step-trials.js'

/**
 * Shortest wait of a suspect for its trial, ms. Servers that fail together, as with a rack, are detected one after the
 * other; a harmless request tried at the next one to fail would be quarantined, and its caller refused for ten minutes. Servers that
 * end together are known by the end of this time.
 */
const TRIAL_DELAY = 150

/** Returns the options of `stepTrials` at `now`, from the trial coordinator's view of the members and recent losses. */
export function readTrialOptions (members: Members, quarantine: Quarantine, now: number): Parameters<typeof stepTrials>[2] {
  const all = members.all()
  const { suspects, servers } = quarantine.listRecentLosses()
  return {
    now,
    daemons: all.map(({ instance }) => instance.name),
    alive: all.filter(({ state }) => state !== 'suspect').map(({ instance }) => instance.name),
    recentSuspects: suspects.map(({ fingerprint }) => fingerprint),
    lost: servers,
    trialDelay: TRIAL_DELAY
  }
}
