import type { Clock } from '../kernel/clock.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Random } from '../kernel/random.js'
import type { LogSink } from '../observe/log-sink.js'
import type { ObjectStore } from '../store/object-store.js'

const KIND = 'evacuations'
/** Duration of one watch, ms. */
const WAIT = 25_000
const RETRY = 500

interface EvacuationOptions {
  readonly store: ObjectStore
  readonly clock: Clock
  readonly random: Random
  readonly log: LogSink
  /** Name of this instance. */
  readonly instance: string
}

/**
 * Watches for the order to evacuate this instance and reports it evacuated at once: all durable data is in the store, and nothing on
 * the local disk needs to be kept. Ends when `signal` is aborted.
 */
export async function answerEvacuation ({ store, clock, random, log, instance }: EvacuationOptions, signal: AbortSignal): Promise<void> {
  for (let cursor = -1; !signal.aborted;) {
    const batch = await store.watch(KIND, cursor, WAIT)
    const isAsked = batch.ok && batch.val.changed.some(({ name }) => name === instance)
    const isAnswered = !isAsked || (await store.putStatus(KIND, instance, { state: 'done' })).ok
    if (isAsked) log.write('info', 'fleet', 'evacuation requested', { answered: isAnswered })
    if (batch.ok && isAnswered) cursor = batch.val.revision
    else await pauseFor(clock, random.spread(RETRY, 0.5))
  }
}
