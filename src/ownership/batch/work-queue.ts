import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import { Extensions } from '../../kernel/extensions.js'
import { tokens } from '../../kernel/tokens.js'
import { hashRequest } from '../../routing/hash-request.js'
import { Quarantine } from '../../routing/quarantine/quarantine.js'
import { batchSourcePoint } from './batch-source-point.js'
import type { BatchWork } from './batch-work.js'
import { DispatchedItemRunner } from './dispatched-item-runner.js'
import { ServedModels } from '../served-models.js'

/** Most items that run through the dispatcher at once. */
const MAX_DISPATCHED = 4
/** How long an item is held for one server, ms. */
const MAX_HOLD = 1_000

/** Batch items on their way from the sources to a server. An item that can't start yet is held for its server. */
@scoped(Lifecycle.ContainerScoped)
export class WorkQueue {
  private readonly held = new Map<string, { readonly work: BatchWork, readonly since: number }>()
  private readonly dispatching = new Set<Promise<void>>()

  constructor (
    @inject(ServedModels) private readonly models: ServedModels,
    @inject(Quarantine) private readonly quarantine: Quarantine,
    @inject(DispatchedItemRunner) private readonly itemRunner: DispatchedItemRunner,
    @inject(Extensions) private readonly registeredExtensions: Extensions,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  /** Whether any items are held or run through the dispatcher. */
  get isBusy (): boolean {
    return this.held.size > 0 || this.dispatching.size > 0
  }

  /** Holds an item as the next one for the server. */
  hold (server: string, work: BatchWork): void {
    this.held.set(server, { work, since: this.clock.now() })
  }

  /** Gives back the held items and waits for those that run through the dispatcher. */
  async drain (): Promise<void> {
    for (const { work } of this.held.values()) this.giveBack(work)
    this.held.clear()
    await Promise.all(this.dispatching)
  }

  /**
   * Gives back items held for servers other than `servers`, the open ones that this daemon owns, and items held for too
   * long. Held for a server that is down or filled by online requests, an item would not run, and its job would not
   * end.
   */
  keepOnly (servers: readonly string[]): void {
    const now = this.clock.now()
    for (const [server, { work, since }] of this.held) {
      if (servers.includes(server) && now < since + MAX_HOLD) continue
      this.held.delete(server)
      this.giveBack(work)
    }
  }

  /** Returns the next item that may run as a stream on the server; passes other items to the dispatcher. */
  take (server: string): BatchWork | undefined {
    for (let work = this.takeAny(server); work !== undefined; work = this.takeAny(server)) {
      if (work.signal.aborted) this.giveBack(work)
      else if (!this.needsDispatcher(work)) return work
      else if (this.dispatching.size >= MAX_DISPATCHED) {
        this.hold(server, work)
        return undefined
      } else this.dispatch(work)
    }
    return undefined
  }

  private takeAny (server: string): BatchWork | undefined {
    const held = this.held.get(server)
    this.held.delete(server)
    if (held !== undefined) return held.work
    for (const source of this.registeredExtensions.collect(batchSourcePoint)) {
      for (const { service } of this.models.list(server)) {
        const work = source.take(service)
        if (work !== undefined) return work
      }
    }
    return undefined
  }

  private dispatch (work: BatchWork): void {
    const run = this.itemRunner.run(work).finally(() => this.dispatching.delete(run))
    this.dispatching.add(run)
  }

  /**
   * Whether an item must not run as an interruptible stream: a suspect of having crashed a server runs in isolation,
   * and a non-idempotent item runs to completion.
   */
  private needsDispatcher ({ caller, service, item, idempotent }: BatchWork): boolean {
    const fingerprint = hashRequest({ caller, service, path: item.url, body: Buffer.from(JSON.stringify({ ...item.body, stream: false })) })
    return !idempotent || this.quarantine.check(fingerprint) !== 'clear'
  }

  private giveBack (work: BatchWork): void {
    work.giveBack(work.signal.aborted ? 'aborted' : 'gave way', { ran: false, tokens: work.resumeFrom, server: '' })
  }
}
