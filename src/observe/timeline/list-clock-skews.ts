import type { OrderConstraint } from './order-constraint.js'
import type { Trace } from '../trace/trace.js'

/** Lists pairs of instances whose clocks must differ, as a line that must come first has the later timestamp. */
export function listClockSkews (constraints: readonly OrderConstraint[]): Trace['clocks'] {
  const skews = new Map<string, Trace['clocks'][number]>()
  for (const { earlier, later } of constraints) {
    const key = JSON.stringify([later.instance, earlier.instance])
    const least = earlier.time - later.time
    if (least > (skews.get(key)?.least ?? 0)) skews.set(key, { behind: later.instance, ahead: earlier.instance, least })
  }
  return [...skews.values()]
}
