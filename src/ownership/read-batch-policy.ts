import type { Settings } from '../kernel/settings.js'
import type { BatchPolicy } from './batch-policy.js'

/** The policy that the daemon's settings name; `preempting` where they name none. */
export function readBatchPolicy ({ batchPolicy }: Pick<Settings, 'batchPolicy'>): BatchPolicy {
  const { type = 'preempting', streams, longPrompts } = batchPolicy ?? {}
  if (type === 'static') return { type, streams }
  return type === 'preempting' ? { type, longPrompts } : { type }
}
