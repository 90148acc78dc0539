import { isSameExit } from './is-same-exit.js'

/** Remembers when the last loss of each server was detected. */
export class ServerExits {
  private readonly lostAt = new Map<string, number>()

  /** Records a loss; returns whether it wasn't known. */
  record (server: string, at: number): boolean {
    if (isSameExit({ server, at }, { server, at: this.lostAt.get(server) ?? -Infinity })) return false
    for (const [other, lostAt] of this.lostAt) if (at > lostAt && !isSameExit({ server: other, at }, { server: other, at: lostAt })) this.lostAt.delete(other)
    this.lostAt.set(server, at)
    return true
  }
}
