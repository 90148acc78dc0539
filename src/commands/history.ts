import { Command } from 'clipanion'
import type { ManifestChange } from '../config/rollout/manifest-change.js'
import { EntryCommand } from './entry-command.js'

/** The newest changes of the configuration, as returned by a daemon. */
interface History { readonly version: number, readonly changes: readonly ManifestChange[] }

/** Shows who changed which files of the configuration. */
export class HistoryCommand extends EntryCommand {
  static override paths = [['history']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show who changed the configuration, oldest change first',
    details: 'Names are as stated by the authors. Exit codes: 0 shown; 1 refused; 2 wrong usage; 3 no daemon answered.',
    examples: [['Check whether a change was accepted', 'citronwheel history --entry http://10.0.0.1:8080 --token TOKEN']]
  })

  async execute (): Promise<number> {
    return this.show(await this.client().call<History>('GET', '/operator/configuration/history'), formatHistory)
  }
}

/** Formats each change with its resulting version, which is the one that the next change was based on. */
function formatHistory ({ version, changes }: History): string {
  if (changes.length === 0) return 'no changes accepted yet'
  return changes.map(({ at, by, files, more }, i) => {
    const became = changes[i + 1]?.basedOn ?? version
    return `${became}  ${new Date(at).toISOString()}  ${by}  ${files.join(', ')}${more > 0 ? ` and ${more} more` : ''}`
  }).join('\n')
}
