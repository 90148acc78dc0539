import { failUnreachable } from '../kernel/unreachable.js'
import type { WaitingReason } from './waiting-reason.js'

/** Formats what an item waits for, for the log. `now` in monotonic ms. */
export function showWaitingReason (reason: WaitingReason, now: number): string {
  switch (reason.type) {
    case 'slot': return 'a slot at any server'
    case 'version': return `a slot at a server of version ${reason.version}, for ${Math.round(reason.until - now)} ms more`
    case 'suspect part': return `the trial of part ${reason.part} by another request`
    case 'refused part': return `the end of the refusal of part ${reason.part}, in ${Math.round(reason.left)} ms, or a trial of it`
    case 'look-up': return 'a read of the store that shows that its job was not ended'
    case 'route': return 'a route of jobs in the configuration'
    case 'service': return 'a service with a weight in its route'
    case 'backoff': return `the end of its backoff in ${Math.round(reason.until - now)} ms`
    case 'stopping': return 'the end of a run that was stopped'
    case 'storing': return 'the store, for its result'
    default: return failUnreachable(reason)
  }
}
