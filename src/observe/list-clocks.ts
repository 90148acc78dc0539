import type { OrderRule } from './order-rule.js'
import type { Trace } from './trace.js'

/** The clocks that must differ, because a line that must have come first has the later stamp. */
export function listClocks (rules: readonly OrderRule[]): Trace['clocks'] {
  const clocks = new Map<string, Trace['clocks'][number]>()
  for (const { earlier, later } of rules) {
    const key = JSON.stringify([later.instance, earlier.instance])
    const least = earlier.time - later.time
    if (least > (clocks.get(key)?.least ?? 0)) clocks.set(key, { behind: later.instance, ahead: earlier.instance, least })
  }
  return [...clocks.values()]
}
