import { Command, Option } from 'clipanion'
import { checkFiles } from '../config/check/check-files.js'
import type { Finding } from '../config/check/finding.js'
import { readYamlFiles } from '../config/read-yaml-files.js'
import { listKeys } from '../config/list-keys.js'
import { formatFinding } from '../config/check/format-finding.js'
import { exitCodes } from './exit-codes.js'

/** Checks an operators' folder offline. */
export class CheckCommand extends Command {
  static override paths = [['check']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'check a configuration folder',
    details: 'Lists all findings of all files. Exit codes: 0 no findings; 1 findings; 2 wrong usage.',
    examples: [
      ['Check a folder', 'citronwheel check fleet/'],
      ['Show which file sets each merged key', 'citronwheel check fleet/ --keys']
    ]
  })

  folder = Option.String({ required: true })
  keys = Option.Boolean('--keys', false, { description: 'show each merged key, the file that sets it and the files that it overrides' })
  json = Option.Boolean('--json', false, { description: 'print the answer as JSON' })

  async execute (): Promise<number> {
    const checked = readYamlFiles(this.folder).andThen(files => checkFiles(files))
    if (checked.err) return this.reject(checked.val)
    const keys = listKeys(checked.val.root)
    const lines = this.keys ? keys.map(key => formatFinding({ ...key, message: key.key + key.replaced.map(file => ` (overrides ${file})`).join('') })) : ['no findings']
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
