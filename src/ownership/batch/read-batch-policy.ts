import type { Settings } from '../../kernel/settings.js'
import type { BatchPolicy } from './batch-policy.js'

/** Returns the policy named in the daemon's settings, by default `preempting`. */
export function readBatchPolicy ({ batchPolicy }: Pick<Settings, 'batchPolicy'>): BatchPolicy {
  const { type = 'preempting', streams, longPrompts } = batchPolicy ?? {}
  if (type === 'static') return { type, streams }
  return type === 'preempting' ? { type, longPrompts } : { type }
}
