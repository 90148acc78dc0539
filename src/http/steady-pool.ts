import { Pool } from 'undici'

/**
 * A pool of connections to one origin whose other connections stay in use when one closes. undici's `Agent` counts established
 * connections by the events of its pools, and closes a pool once there is none: also while a request in it opens one.
 */
export class SteadyPool extends Pool {
  override emit (event: string | symbol, ...details: any[]): boolean {
    if (event === 'connect') return false
    const isLoss = event === 'disconnect' || event === 'connectionError'
    return isLoss && this.isUsed() ? false : super.emit(event as 'drain', ...details as [URL])
  }

  private isUsed (): boolean {
    const { connected, size } = this.stats
    return connected + size > 0
  }
}
