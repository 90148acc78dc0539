/** Versions of one pool's servers: those listed, and when others ceased to be, monotonic ms. */
interface PoolVersions { readonly listed: ReadonlySet<string>, readonly goneAt: ReadonlyMap<string, number> }

/** A listed server with its version. */
interface VersionedServer { readonly pool: string, readonly version: string }

/** Which versions a pool's servers have, and had of late. */
export class VersionHistory {
  private pools = new Map<string, PoolVersions>()

  /** Records the listed servers; returns the pools that have come to have several versions. */
  record (servers: readonly VersionedServer[], now: number): readonly string[] {
    const names = new Set([...this.pools.keys(), ...servers.map(({ pool }) => pool)])
    const before = this.pools
    this.pools = new Map([...names].map(pool => [pool, step(before.get(pool), new Set(servers.filter(server => server.pool === pool).map(({ version }) => version)), now)]))
    return [...names].filter(pool => (before.get(pool)?.listed.size ?? 0) < 2 && this.pools.get(pool)!.listed.size > 1)
  }

  /** Lists the versions that the pool's servers have or had within the last `span` ms. */
  list (pool: string, now: number, span: number): readonly string[] {
    const { listed, goneAt } = this.pools.get(pool) ?? { listed: [], goneAt: [] }
    return [...listed, ...[...goneAt].filter(([, at]) => now - at < span).map(([version]) => version)]
  }
}

function step (before: PoolVersions = { listed: new Set(), goneAt: new Map() }, listed: ReadonlySet<string>, now: number): PoolVersions {
  const gone = [...before.listed].filter(version => !listed.has(version)).map(version => [version, now] as const)
  return { listed, goneAt: new Map([...before.goneAt, ...gone].filter(([version]) => !listed.has(version))) }
}
