import type { Policy } from './policy.js'

/** The compared policies: baselines (a) to (d), and (e), the one in use. */
export const policies: readonly Policy[] = [
  { letter: 'a', name: 'no batch' },
  { letter: 'b', name: 'forwarded as it comes', batchPolicy: { type: 'forward' } },
  { letter: 'c', name: 'static split', batchPolicy: { type: 'static' } },
  { letter: 'd', name: 'by load reports', batchPolicy: { type: 'load reports' } },
  { letter: 'e', name: 'ours', batchPolicy: { type: 'preempting' } }
]
