import type { HeldChunk } from './held-chunk.js'

/** The chunks that this daemon holds, by name. */
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

  /** Bytes of results that aren't known to be durable. */
  countUnsavedBytes (): number {
    return this.list().reduce((sum, held) => sum + held.unsavedBytes, 0)
  }

  /** Items of the service that could be taken now, or once they are marked. */
  countReady (service: string): number {
    return this.listByService(service).reduce((sum, held) => sum + held.ready, 0)
  }
}
