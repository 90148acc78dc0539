import type { Socket } from 'node:net'
import { DelayedPipe } from './delayed-pipe.js'
import type { RelayMode } from './relay-mode.js'

/**
 * A connection relayed between two processes; the first of `ends` is the opener's. Bytes that a mode holds back are forwarded when it
 * ends, as TCP would retransmit them.
 */
export class RelayedConnection {
  private mode: RelayMode = { type: 'open' }
  private ended = false

  constructor (private readonly ends: readonly [Socket, Socket]) {
    this.pipe(ends[0], ends[1])
    this.pipe(ends[1], ends[0])
  }

  get closed (): boolean {
    return this.ended && !this.isHeld
  }

  setMode (mode: RelayMode): void {
    this.mode = mode
    if (mode.type === 'reset') return this.reset()
    const held = mode.type === 'silent' ? this.ends : mode.type === 'answers held' ? [this.ends[1]] : []
    for (const end of this.ends) {
      if (held.includes(end)) end.pause()
      else end.resume()
    }
    if (this.ended && !this.isHeld) this.close()
  }

  close (): void {
    for (const end of this.ends) end.destroy()
  }

  private reset (): void {
    for (const end of this.ends) end.resetAndDestroy()
  }

  /** Whether a direction is held back; meanwhile, the close of one side isn't forwarded to the other. */
  private get isHeld (): boolean {
    return this.mode.type === 'silent' || this.mode.type === 'answers held'
  }

  private pipe (from: Socket, to: Socket): void {
    const pipe = new DelayedPipe(to)
    from.on('data', bytes => pipe.write(bytes as Buffer, this.mode.type === 'delayed' ? this.mode.delay : 0))
    let isReset = false
    from.on('error', ({ code }: NodeJS.ErrnoException) => { isReset ||= code === 'ECONNRESET' })
    // A reset that arrives together with data is handed over as a regular close; the connection has no peer then.
    from.on('end', () => { isReset ||= from.remotePort === undefined })
    from.on('close', () => {
      this.ended = true
      if (!this.isHeld) pipe.close(isReset)
    })
  }
}
