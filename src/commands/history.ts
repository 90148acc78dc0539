import { Command } from 'clipanion'
import type { ManifestChange } from '../config/manifest-change.js'
import { EntryCommand } from './entry-command.js'

/** The newest changes of the configuration, as a daemon knows them. */
interface History { readonly version: number, readonly changes: readonly ManifestChange[] }

/** Shows who changed which files of the configuration. */
export class HistoryCommand extends EntryCommand {
  static override paths = [['history']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show who changed the configuration, the newest last',
    details: 'The names are as their authors gave them. Exit codes: 0 shown; 1 refused; 2 wrong usage; 3 no daemon answered.',
    examples: [['See whether a change was accepted', 'citronwheel history --entry http://10.0.0.1:8080 --token TOKEN']]
  })

  async execute (): Promise<number> {
    return this.show(await this.client().call<History>('GET', '/operator/configuration/history'), formatHistory)
  }
}

/** Each change with the version it became: what the next one was based on. */
function formatHistory ({ version, changes }: History): string {
  if (changes.length === 0) return 'nothing has been accepted'
  return changes.map(({ at, by, files, more }, i) => {
    const became = changes[i + 1]?.basedOn ?? version
    return `${became}  ${new Date(at).toISOString()}  ${by}  ${files.join(', ')}${more > 0 ? ` and ${more} more` : ''}`
  }).join('\n')
}
