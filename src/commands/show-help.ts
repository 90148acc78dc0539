import type { Cli } from 'clipanion'
import { commands } from './commands.js'

const HELP_OPTIONS = ['--help', '-h']

/** The help that the words ask for, of one command, of a group or of all; nothing where they ask for none. */
export function showHelp (cli: Cli, args: readonly string[]): string | undefined {
  if (args.length > 0 && !args.some(word => HELP_OPTIONS.includes(word))) return undefined
  const path = args.filter(word => !word.startsWith('-'))
  const command = commands.find(({ paths = [] }) => paths.some(commandPath => isPrefix(commandPath, path) && !commandPath.some(word => word.startsWith('-'))))
  if (command !== undefined) return formatValues(cli.usage(command, { detailed: true, colored: false }))
  const group = path.length === 0 ? [] : cli.definitions().filter(definition => isPrefix(path, definition.path.split(' ').slice(1)))
  return formatValues(group.length === 0
    ? cli.usage(null, { colored: false })
    : group.map(({ path, description = '' }) => `${path}\n  ${description}`).join('\n'))
}

function isPrefix (start: readonly string[], path: readonly string[]): boolean {
  return start.length > 0 && start.every((word, i) => path[i] === word)
}

/** The library names the value of an option after its place in the words. */
function formatValues (text: string): string {
  return text.replaceAll(' #0', ' VALUE')
}
