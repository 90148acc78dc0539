import type { PartLoss } from './part-loss.js'
import type { ServerPartLoss } from './server-part-loss.js'

/** Whether a daemon's report of a server's loss is among the losses. Its time doesn't tell: a report that arrives late seems to be of a later loss. */
export function isReported (losses: readonly PartLoss[], { server, daemon, id }: Pick<ServerPartLoss, 'server' | 'daemon' | 'id'>): boolean {
  return id !== undefined && losses.some(loss => loss.server === server && loss.ids?.get(daemon) === id)
}
