import type { Cli } from 'clipanion'
import { commands } from './commands.js'

const HELP_OPTIONS = ['--help', '-h']

/** Returns the help requested by the arguments, for one command, a group or all; undefined if none is requested. */
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

/** Replaces clipanion's placeholder for an option's value. */
function formatValues (text: string): string {
  return text.replaceAll(' #0', ' VALUE')
}
