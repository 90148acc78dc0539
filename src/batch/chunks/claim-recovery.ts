import { inject, Lifecycle, scoped } from 'tsyringe'
import { tokens } from '../../kernel/tokens.js'
import { Timeline } from '../../observe/timeline/timeline.js'
import { listPages } from '../../store/list-pages.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { Chunk } from './chunk.js'
import type { Holding } from './holding.js'
import { isHolder } from './is-holder.js'

/** Frees the chunks of a dead daemon, which its `holding` object lists. */
@scoped(Lifecycle.ContainerScoped)
export class ClaimRecovery {
  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(Timeline) private readonly timeline: Timeline
  ) {}

  /** Returns the instances that have a `holding` object, whether they still run or not. */
  async listHolders (): Promise<readonly string[]> {
    const holders: string[] = []
    for await (const page of listPages(this.store, 'holding')) holders.push(...page.unwrapOr([]).map(({ name }) => name))
    return holders
  }

  /**
   * Removes the claims of a daemon; returns whether that is complete. If the daemon is alive after all, its next
   * write to each chunk conflicts: the work in flight is lost, but no result.
   */
  async recover (instance: string): Promise<boolean> {
    const read = await this.store.get<Holding>('holding', instance)
    if (read.err) return read.val.type === 'missing'
    const { started, chunks } = read.val.value
    for (const name of chunks) if (!await this.free(name, instance, started)) return false
    const deleted = await this.store.delete('holding', instance, read.val.version)
    for (const name of chunks) {
      const dot = name.lastIndexOf('.')
      this.timeline.record({ part: 'batch', what: 'recovered', job: name.slice(0, dot), detail: `chunk ${name.slice(dot + 1)} of ${instance}, which is gone` })
    }
    return deleted.ok || deleted.val.type === 'conflict' || deleted.val.type === 'missing'
  }

  private async free (name: string, instance: string, started: number): Promise<boolean> {
    const read = await this.store.get<Chunk>('chunk', name)
    if (read.err) return read.val.type === 'missing'
    if (!isHolder(read.val.value, { instance, started })) return true
    const { holder, ...free } = read.val.value
    return (await this.store.put('chunk', name, free, read.val.version)).ok
  }
}
