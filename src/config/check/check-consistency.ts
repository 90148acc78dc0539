import type { Configuration } from '../configuration.js'
import type { Entry } from '../entry.js'
import type { Finding } from './finding.js'

/** Lists findings that involve several keys, which may be set in different files. */
export function checkConsistency (configuration: Omit<Configuration, 'version'>, root: Entry): readonly Finding[] {
  const findings: Finding[] = []
  const reject = (path: readonly string[], message: string): void => {
    findings.push({ ...findNearestEntry(root, path).location, message: `${path.join('.')}: ${message}` })
  }
  checkServices(configuration, reject)
  checkTokens(configuration, reject)
  checkQuotas(configuration, reject)
  const { queueWait, deadline } = configuration.limits
  if (queueWait > deadline) reject(['limits', 'queueWait'], `${queueWait} ms is longer than the deadline of ${deadline} ms`)
  return findings
}

type Reject = (path: readonly string[], message: string) => void

function checkServices ({ services, models }: Omit<Configuration, 'version'>, reject: Reject): void {
  for (const [name, { kind, model }] of Object.entries(services)) {
    const path = ['services', name, 'model']
    if (kind === 'plain' && model !== undefined) reject(path, 'a plain service has no model')
    if (kind === 'model' && model === undefined) reject(path, 'a service of kind model requires a model')
    if (kind === 'model' && model !== undefined && !Object.hasOwn(models, model)) reject(path, `there is no model ${model}`)
  }
}

/** Rejects duplicate tokens: daemons identify a caller by its token, so two callers with one token can't be told apart. */
function checkTokens ({ callers }: Omit<Configuration, 'version'>, reject: Reject): void {
  const owners = new Map<string, string>()
  for (const [name, { tokens }] of Object.entries(callers)) {
    tokens.forEach((token, i) => {
      const owner = owners.get(token)
      if (owner !== undefined) reject(['callers', name, 'tokens', String(i)], owner === name ? 'the same token twice' : `the same token as ${owner}`)
      owners.set(token, name)
    })
  }
}

/** Rejects a burst without a rate, which would limit nothing. */
function checkQuotas ({ callers }: Omit<Configuration, 'version'>, reject: Reject): void {
  for (const [name, { rate = 0, burst = 0 }] of Object.entries(callers)) {
    if (burst > 0 && rate === 0) reject(['callers', name, 'burst'], 'a burst limits nothing without a rate: set `rate`')
  }
}

/** Returns the entry at `path`, or its nearest ancestor that exists. */
function findNearestEntry (entry: Entry, [key, ...rest]: readonly string[]): Entry {
  if (key === undefined || entry.type === 'scalar') return entry
  const next = entry.type === 'map' ? entry.keys.get(key) : entry.items[Number(key)]
  return next === undefined ? entry : findNearestEntry(next, rest)
}
