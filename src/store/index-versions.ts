import type { Instance } from './instance.js'

/**
 * Returns the software version of each server, for comparison. Servers that state none may differ from each other, so that each is a
 * version of its own, `?NAME`, unless no server of its pool states one; they are then taken for one version, ``. A server may start again
 * with other software: where its start is known, its version is `?NAME@START`.
 */
export function indexVersions (instances: readonly Pick<Instance, 'name' | 'pool' | 'version' | 'startedAt'>[]): ReadonlyMap<string, string> {
  const versioned = new Set(instances.filter(({ version }) => version !== undefined).map(({ pool }) => pool))
  return new Map(instances.map(({ name, pool, version, startedAt }) => {
    const own = startedAt === undefined ? `?${name}` : `?${name}@${startedAt}`
    return [name, version ?? (versioned.has(pool) ? own : '')]
  }))
}
