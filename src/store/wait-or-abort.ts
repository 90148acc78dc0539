/**
 * Settles as `promise` does, or rejects with the reason of `signal` once that is aborted. undici observes a signal only once
 * it has a connection, so that a call to an unreachable host would last until the connect timeout, 10 s,
 * whatever its own timeout.
 */
export async function waitOrAbort<T> (promise: Promise<T>, signal: AbortSignal): Promise<T> {
  return await new Promise<T>((resolve, reject) => {
    const onAbort = (): void => reject(new Error((signal.reason as Error).message))
    signal.addEventListener('abort', onAbort, { once: true })
    promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort))
  })
}
