import type { Clock } from './clock.js'

/** Resolves at the next call of a listener that `subscribe` takes, or after `timeout` ms; either way the listener is gone. */
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
