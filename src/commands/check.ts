import { Command, Option } from 'clipanion'
import { checkFiles } from '../config/check-files.js'
import type { Finding } from '../config/finding.js'
import { readYamlFiles } from '../config/read-yaml-files.js'
import { listKeys } from '../config/list-keys.js'
import { formatFinding } from '../config/format-finding.js'
import { exitCodes } from './exit-codes.js'

/** Checks an operators' folder without asking a daemon. */
export class CheckCommand extends Command {
  static override paths = [['check']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'check a configuration folder',
    details: 'All findings of all files come together. Exit codes: 0 nothing found; 1 findings; 2 wrong usage.',
    examples: [
      ['Check a folder', 'citronwheel check fleet/'],
      ['See which file each merged key comes from', 'citronwheel check fleet/ --keys']
    ]
  })

  folder = Option.String({ required: true })
  keys = Option.Boolean('--keys', false, { description: 'show each merged key, the file that won it and those it won over' })
  json = Option.Boolean('--json', false, { description: 'print the answer as JSON' })

  async execute (): Promise<number> {
    const checked = readYamlFiles(this.folder).andThen(files => checkFiles(files))
    if (checked.err) return this.reject(checked.val)
    const keys = listKeys(checked.val.root)
    const lines = this.keys ? keys.map(key => formatFinding({ ...key, message: key.key + key.replaced.map(file => ` (over ${file})`).join('') })) : ['nothing found']
    this.write(this.json ? JSON.stringify({ findings: [], ...this.keys && { keys } }) : lines.join('\n'))
    return exitCodes.ok
  }

  private reject (findings: readonly Finding[]): number {
    this.write(this.json ? JSON.stringify({ findings }) : findings.map(formatFinding).join('\n'))
    return exitCodes.refused
  }

  private write (text: string): void {
    this.context.stdout.write(text + '\n')
  }
}
