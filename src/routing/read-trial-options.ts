import type { Members } from '../peers/members.js'
import type { Quarantine } from './quarantine.js'
import type { stepTrials } from './step-trials.js'

/**
 * How long a suspect waits for its trial, ms. Servers that end together, as when a rack fails, are noticed one after the
 * other: a request cut by the first was tried at the second while that one was ending, and a request that had done
 * nothing was quarantined, its caller refused for ten minutes. By then those that end within this time are known.
 */
const TRIAL_DELAY = 150

/** What the daemon that gives trials out goes by at `now`, as it sees the others and what is held. */
export function readTrialOptions (members: Members, quarantine: Quarantine, now: number): Parameters<typeof stepTrials>[2] {
  const all = members.all()
  const { suspects, servers } = quarantine.listRecentLosses()
  return {
    now,
    daemons: all.map(({ instance }) => instance.name),
    alive: all.filter(({ state }) => state !== 'suspect').map(({ instance }) => instance.name),
    recentSuspects: suspects.map(({ fingerprint }) => fingerprint),
    lost: servers,
    pause: TRIAL_DELAY
  }
}
