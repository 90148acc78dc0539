import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { listOthers } from '../peers/list-others.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import { ConfigurationHolder } from './configuration-holder.js'
import type { Reach } from './reach.js'

const QUESTION = 'configuration reach'
const ANSWER = 'configuration reach answer'
const ANSWER_WAIT = 1_000

interface Question { readonly versions: Map<string, number>, readonly left: Set<string>, readonly end: () => void }

/** Asks the other daemons which version they act on, when an operator wants to know. */
@scoped(Lifecycle.ContainerScoped)
export class ConfigurationReach implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: QUESTION, handle: ({ id }, from) => this.links.send(from, { type: ANSWER, id, version: this.holder.value.version }) }),
    peerHandlerPoint.of({ type: ANSWER, handle: ({ id, version }, from) => this.record(Number(id), from, Number(version)) })
  ]

  private readonly open = new Map<number, Question>()
  private next = 1

  constructor (
    @inject(ConfigurationHolder) private readonly holder: ConfigurationHolder,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  /** Resolves when all known daemons have answered, or after a second. */
  async read (version: number): Promise<Reach> {
    const names = listOthers(this.members.all(), this.settings.instance)
    const versions = new Map([[this.settings.instance, this.holder.value.version]])
    await this.ask(names, versions)
    return {
      version,
      acting: [...versions].filter(([, acting]) => acting >= version).map(([name]) => name).sort(),
      behind: [...versions].filter(([, acting]) => acting < version).map(([instance, acting]) => ({ instance, version: acting })),
      silent: names.filter(name => !versions.has(name)).sort()
    }
  }

  private async ask (names: readonly string[], versions: Map<string, number>): Promise<void> {
    if (names.length === 0) return
    const id = this.next++
    await new Promise<void>(resolve => {
      const cancel = this.clock.after(ANSWER_WAIT, resolve)
      const end = (): void => { cancel(); resolve() }
      this.open.set(id, { versions, left: new Set(names), end })
      for (const name of names) this.links.send(name, { type: QUESTION, id })
    })
    this.open.delete(id)
  }

  private record (id: number, from: string, version: number): void {
    const question = this.open.get(id)
    if (question === undefined || !question.left.delete(from)) return
    question.versions.set(from, version)
    if (question.left.size === 0) question.end()
  }
}

partRegistry.register({ name: 'configuration reach', part: ConfigurationReach, needs: ['peer links', 'members'] })
