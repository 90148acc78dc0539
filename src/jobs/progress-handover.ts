import type { PeerLinks } from '../peers/peer-links.js'
import type { ItemProgress } from './item-progress.js'
import type { OwnedJob } from './owned-job.js'
import { splitProgress } from './split-progress.js'

const MESSAGE = 'job progress'

/**
 * Sends the progress of a job's items to its next owner, and keeps what was received of jobs that are about to be taken over here. Otherwise
 * a rolling restart would make a long item start from its beginning on each instance in turn.
 */
export class ProgressHandover {
  static readonly messageType = MESSAGE
  private readonly received = new Map<string, readonly ItemProgress[]>()

  constructor (private readonly links: Pick<PeerLinks, 'send'>) {}

  send (job: OwnedJob, to: string): void {
    for (const progress of splitProgress(job.copyProgress())) this.links.send(to, { type: MESSAGE, job: job.id, progress })
  }

  /** Keeps the received progress of a job that isn't owned here yet. */
  add (id: string, progress: readonly ItemProgress[]): void {
    this.received.set(id, [...this.received.get(id) ?? [], ...progress])
  }

  /** Returns the received progress of a job and forgets it. */
  take (id: string): readonly ItemProgress[] {
    const progress = this.received.get(id) ?? []
    this.received.delete(id)
    return progress
  }
}
