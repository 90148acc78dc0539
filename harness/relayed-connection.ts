import type { Socket } from 'node:net'

/**
 * A connection that the harness passes on between two processes. While it is silent nothing passes, neither bytes nor the
 * end of either side, as on a way that drops packets; afterwards what was held comes, as TCP sends it again.
 */
export class RelayedConnection {
  private silent = false
  private ended = false

  constructor (private readonly ends: readonly [Socket, Socket]) {
    this.join(ends[0], ends[1])
    this.join(ends[1], ends[0])
  }

  get closed (): boolean {
    return this.ended && !this.silent
  }

  setSilent (silent: boolean): void {
    this.silent = silent
    for (const end of this.ends) {
      if (silent) end.pause()
      else end.resume()
    }
    if (this.ended && !silent) this.close()
  }

  close (): void {
    for (const end of this.ends) end.destroy()
  }

  private join (from: Socket, to: Socket): void {
    from.on('data', bytes => to.write(bytes))
    from.on('error', () => {})
    from.on('close', () => {
      this.ended = true
      if (!this.silent) this.close()
    })
  }
}
