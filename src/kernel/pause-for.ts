import type { Clock } from './clock.js'

/**
 * Resolves after `time` ms by `clock`.
 *
 * @example
 * await pauseFor(clock, random.spread(RETRY))
 */
export function pauseFor (clock: Pick<Clock, 'after'>, time: number): Promise<void> {
  return new Promise(resolve => { clock.after(time, resolve) })
}
