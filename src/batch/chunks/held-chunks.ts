import type { HeldChunk } from './held-chunk.js'

/** The chunks held by this daemon, by name. */
export class HeldChunks {
  private readonly chunks = new Map<string, HeldChunk>()

  has (name: string): boolean {
    return this.chunks.has(name)
  }

  add (held: HeldChunk): void {
    this.chunks.set(held.name, held)
  }

  remove (name: string): void {
    this.chunks.delete(name)
  }

  list (): readonly HeldChunk[] {
    return [...this.chunks.values()]
  }

  listByService (service: string): readonly HeldChunk[] {
    return this.list().filter(held => held.options.service === service)
  }

  listByJob (job: string): readonly HeldChunk[] {
    return this.list().filter(held => held.options.job.id === job)
  }

  /** Returns the size of the results that are not yet known to be durable. */
  countUnsavedBytes (): number {
    return this.list().reduce((sum, held) => sum + held.unsavedBytes, 0)
  }

  /** Returns the number of items of the service that can be taken now or once they are marked as started. */
  countReady (service: string): number {
    return this.listByService(service).reduce((sum, held) => sum + held.ready, 0)
  }
}
