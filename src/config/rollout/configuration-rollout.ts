import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import type { Extension } from '../../kernel/extension.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { listOthers } from '../../peers/list-others.js'
import { MemberQueries } from '../../peers/member-queries.js'
import { Members } from '../../peers/members.js'
import { PeerLinks } from '../../peers/peer-links.js'
import { ConfigurationHolder } from '../configuration-holder.js'
import type { RolloutStatus } from './rollout-status.js'

const REQUEST_TYPE = 'configuration reach'
const ANSWER_TYPE = 'configuration reach answer'
/** In ms. */
const ANSWER_TIMEOUT = 1_000

/** Queries the other daemons for their active version when an operator requests the rollout status. */
@scoped(Lifecycle.ContainerScoped)
export class ConfigurationRollout implements Part {
  readonly extensions: readonly Extension[]
  private readonly queries: MemberQueries<number>

  constructor (
    @inject(ConfigurationHolder) private readonly holder: ConfigurationHolder,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) clock: Clock
  ) {
    const answer = async (): Promise<{ readonly version: number }> => ({ version: holder.value.version })
    this.queries = new MemberQueries({ links, clock, requestType: REQUEST_TYPE, answerType: ANSWER_TYPE, timeout: ANSWER_TIMEOUT, handle: answer, read: ({ version }) => Number(version) })
    this.extensions = this.queries.extensions
  }

  /** Resolves when all known daemons have answered, or after one second. */
  async read (version: number): Promise<RolloutStatus> {
    const own = [this.settings.instance, this.holder.value.version] as const
    const { answers, unresponsive: silent } = await this.queries.ask(listOthers(this.members.all(), this.settings.instance))
    const versions = [own, ...answers]
    return {
      version,
      acting: versions.filter(([, acting]) => acting >= version).map(([name]) => name).sort(),
      behind: versions.filter(([, acting]) => acting < version).map(([instance, acting]) => ({ instance, version: acting })),
      silent
    }
  }
}

partRegistry.register({ name: 'configuration reach', part: ConfigurationRollout, needs: ['peer links', 'members'] })
