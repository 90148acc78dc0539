import type { VersionOutcome } from './version-outcome.js'
import type { VersionStore } from './version-store.js'

/** A swap: the new value, the version on which it is based, and how to find the swap in a later value. */
interface Swap<T> {
  readonly value: T
  readonly basedOn: number
  /**
   * Finds this swap in the present value: returns the version at which it was accepted, `absent` if it never was,
   * `untold` if the value's history doesn't reach back to `basedOn`.
   */
  readonly find: (present: { readonly version: number, readonly value: T }) => number | 'absent' | 'untold'
}

/** Pause before retrying a swap that was never sent, ms. */
const RETRY_AFTER = 1_000

/**
 * Swaps a stored value by conditional update and returns the true outcome, also when the reply was lost. The value must
 * contain a bounded history with an id for each swap: the store's version alone can't distinguish a swap that was
 * refused from one that was accepted and followed by another.
 *
 * A write without a reply may take effect later, but only while the version is still `basedOn`. The outcome is
 * therefore `unknown`, never `refused`, while the version is unchanged; once the version has changed and the history
 * doesn't contain the swap, it can't take effect any more.
 *
 * Errors: none are thrown; see `VersionOutcome`. Times in ms.
 *
 * @example
 * const outcome = await writeVersion(store, { value, basedOn: 7, find: present => findChange(present, id) })
 * if (outcome.type === 'refused') console.log(`version ${outcome.version} came first`)
 */
export async function writeVersion<T> (store: VersionStore<T>, { value, basedOn, find }: Swap<T>): Promise<VersionOutcome<T>> {
  const written = await store.write(value, basedOn)
  if (written.ok) return { type: 'accepted', version: written.val.version }
  const error = written.val
  switch (error.type) {
    case 'limited': return { type: 'not sent', reason: 'over the rate', retryAfter: error.retryAfter }
    case 'unavailable': return { type: 'not sent', reason: error.reason, retryAfter: RETRY_AFTER }
    case 'invalid': return { type: 'not sent', reason: error.reason, retryAfter: Infinity }
    case 'conflict':
    case 'missing':
    case 'unknown': return await settleSwap(store, { value, basedOn, find })
  }
}

async function settleSwap<T> (store: VersionStore<T>, { basedOn, find }: Swap<T>): Promise<VersionOutcome<T>> {
  const present = await store.read()
  if (present.err) return { type: 'unknown', reason: 'the reply was lost, and reading back failed' }
  const { version, value } = present.val
  const found = find(present.val)
  if (typeof found === 'number') return { type: 'accepted', version: found }
  if (version <= basedOn) return { type: 'unknown', reason: 'the reply was lost; it has not taken effect so far, but still may' }
  return found === 'absent' ? { type: 'refused', version, value } : { type: 'unknown', reason: 'the reply was lost, and too many changes have come since to tell' }
}
