interface Connection { readonly address: string, open: number, idleSince: number }

/**
 * The open connections of callers, with the number of each address, the open exchanges on each connection and since when it has been idle.
 * Times in monotonic ms.
 */
export class ConnectionTable<Key> {
  private readonly connections = new Map<Key, Connection>()
  private readonly byAddress = new Map<string, number>()

  get size (): number {
    return this.connections.size
  }

  /** Returns the number of open connections of `address`. */
  count (address: string): number {
    return this.byAddress.get(address) ?? 0
  }

  add (key: Key, address: string, now: number): void {
    this.connections.set(key, { address, open: 0, idleSince: now })
    this.byAddress.set(address, this.count(address) + 1)
  }

  remove (key: Key): void {
    const connection = this.connections.get(key)
    if (connection === undefined) return
    this.connections.delete(key)
    const left = this.count(connection.address) - 1
    if (left === 0) this.byAddress.delete(connection.address)
    else this.byAddress.set(connection.address, left)
  }

  /** Counts an exchange that begins on the connection; returns false where the connection is unknown. */
  begin (key: Key): boolean {
    const connection = this.connections.get(key)
    if (connection !== undefined) connection.open++
    return connection !== undefined
  }

  end (key: Key, now: number): void {
    const connection = this.connections.get(key)
    if (connection === undefined) return
    connection.open--
    connection.idleSince = now
  }

  /** Returns the connection that has been without an open exchange for longest; undefined if each has one. */
  findLongestIdle (): Key | undefined {
    let found: { readonly key: Key, readonly idleSince: number } | undefined
    for (const [key, { open, idleSince }] of this.connections) if (open === 0 && idleSince < (found?.idleSince ?? Infinity)) found = { key, idleSince }
    return found?.key
  }

  /** Lists the connections without an open exchange for at least `time` ms. */
  listIdle (now: number, time: number): readonly Key[] {
    return [...this.connections].filter(([, { open, idleSince }]) => open === 0 && now - idleSince >= time).map(([key]) => key)
  }
}
