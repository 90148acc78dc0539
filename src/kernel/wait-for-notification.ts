import type { Clock } from './clock.js'

/** Resolves at the next notification of a listener passed to `subscribe`, or after `timeout` ms, and removes the listener. */
export async function waitForNotification (clock: Pick<Clock, 'after'>, subscribe: (listener: () => void) => () => void, timeout: number): Promise<void> {
  await new Promise<void>(resolve => {
    const end = (): void => {
      stop()
      cancel()
      resolve()
    }
    const stop = subscribe(end)
    const cancel = clock.after(timeout, end)
  })
}
