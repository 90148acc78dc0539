import { inject, Lifecycle, scoped } from 'tsyringe'
import type { ClaimEvent } from '../coordination/claims/claim-event.js'
import type { ClaimOptions } from '../coordination/claims/claim-options.js'
import type { ClaimState } from '../coordination/claims/claim-state.js'
import { isClaimProven } from '../coordination/claims/is-claim-proven.js'
import { isClaimSettled } from '../coordination/claims/is-claim-settled.js'
import { stepClaim } from '../coordination/claims/step-claim.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline/timeline.js'
import { Members } from '../peers/members.js'
import { InstanceList } from '../store/instance-list.js'
import type { ObjectStore } from '../store/object-store.js'
import { OwnerTable } from './owner-table.js'

const REFRESH_PERIOD = 200 // ms
const ENTRY_POOL = 'entry'
const CLAIM_KIND = 'owner'

/** A claim as stored in the object `owner/SERVER`. */
interface ClaimObject { readonly holder: string }

/**
 * Determines the owner of each backend server and holds this daemon's claims on those that it owns. Health checks, load
 * reports and batch admission follow the ranking immediately, since two owners merely waste some work; orders need the
 * claim.
 */
@scoped(Lifecycle.ContainerScoped)
export class ServerOwners implements Part {
  private readonly table = new OwnerTable()
  private readonly claims = new Map<string, ClaimState>()
  private readonly listeners = new Set<() => void>()
  private readonly options: ClaimOptions
  private owned: readonly string[] = []
  private cancel = (): void => {}

  constructor (
    @inject(Members) private readonly members: Members,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(PauseWatch) private readonly pauses: PauseWatch,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.options = { self: `${settings.instance}/${clock.date()}` }
  }

  async start (): Promise<void> {
    this.pauses.subscribe(() => this.handleAll({ type: 'paused' }))
    this.refresh()
    this.cancel = this.clock.every(REFRESH_PERIOD, () => this.refresh())
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** Returns the daemon that should own the server by this daemon's view. */
  findOwner (server: string): string | undefined {
    return this.table.find(server)
  }

  /** Returns the servers that this daemon should own. */
  listOwned (): readonly string[] {
    return this.owned
  }

  /** Returns the fencing number of this daemon's claim on the server; 0 if it holds none. */
  getFencing (server: string): number {
    const state = this.claims.get(server)
    return state?.type === 'held' ? state.version : 0
  }

  /**
   * Whether a fresh proof would permit an order now; for servers that ignore fencing numbers, not until 5.5 s after the
   * claim.
   */
  isSettled (server: string, checksFencing: boolean): boolean {
    const state = this.claims.get(server)
    return state?.type === 'held' && (checksFencing || isClaimSettled(state, this.clock.now(), this.options))
  }

  /**
   * Requests a fresh proof of the claim if it would permit an order; `getAuthority` returns a number once it has
   * arrived.
   */
  confirm (server: string, checksFencing: boolean): void {
    if (this.isSettled(server, checksFencing)) this.handle(server, { type: 'confirm' })
  }

  /**
   * Returns the fencing number with which an order may be sent in this very turn, or undefined. It compares the clock
   * itself, so that a daemon that was paused past its proof sends nothing even before any timer has run.
   */
  getAuthority (server: string, checksFencing: boolean): number | undefined {
    this.pauses.check()
    const state = this.claims.get(server)
    const now = this.clock.now()
    if (state?.type !== 'held' || !isClaimProven(state, now, this.options)) return undefined
    return checksFencing || isClaimSettled(state, now, this.options) ? state.version : undefined
  }

  /** Calls `listener` when the set of servers that this daemon should own has changed. */
  subscribe (listener: () => void): void {
    this.listeners.add(listener)
  }

  private refresh (): void {
    const daemons = this.members.all().filter(({ state }) => state !== 'leaving').map(({ instance }) => instance)
    this.table.update(this.list.all.filter(({ pool }) => pool !== ENTRY_POOL), daemons)
    const before = this.owned
    this.owned = this.table.list(this.settings.instance)
    for (const server of before) if (!this.owned.includes(server)) this.handle(server, { type: 'release' })
    for (const server of this.owned) this.handle(server, { type: 'want' })
    this.handleAll({ type: 'tick' })
    if (before.join() !== this.owned.join()) for (const listener of this.listeners) listener()
  }

  private handleAll (event: ClaimEvent): void {
    for (const server of this.claims.keys()) this.handle(server, event)
  }

  private handle (server: string, event: ClaimEvent): void {
    const before = this.claims.get(server) ?? { type: 'idle', attempt: 0 }
    const { state, effects } = stepClaim(before, event, this.clock.now(), this.options)
    this.claims.set(server, state)
    if (state.type === 'held' && before.type !== 'held') this.timeline.record({ part: 'ownership', what: 'claimed', server, detail: `fencing ${state.version}` })
    for (const effect of effects) {
      void (effect.type === 'read' ? this.read(server, effect.attempt) : this.write(server, effect.attempt, effect.version))
    }
  }

  private async read (server: string, attempt: number): Promise<void> {
    const object = await this.store.get<ClaimObject>(CLAIM_KIND, server, 'background')
    if (object.ok) this.handle(server, { type: 'read', attempt, holder: object.val.value.holder, version: object.val.version })
    else if (object.val.type === 'missing') this.handle(server, { type: 'read', attempt, version: 0 })
    else this.handle(server, { type: 'failed', attempt })
  }

  private async write (server: string, attempt: number, version: number): Promise<void> {
    const value: ClaimObject = { holder: this.options.self }
    const written = await this.store.put(CLAIM_KIND, server, value, version, 'background')
    this.handle(server, written.ok ? { type: 'written', attempt, version: written.val.version } : { type: 'failed', attempt })
  }
}

partRegistry.register({ name: 'server owners', part: ServerOwners, needs: ['members', 'instance list', 'pause watch'] })
