import { suggestWord } from '../kernel/suggest-word.js'
import type { CommandDefinition } from './command-definition.js'
import { entryVariables } from './entry-variables.js'

type Environment = Readonly<Record<string, string | undefined>>

/**
 * Describes the usage errors of invalid arguments, one per line: unknown commands and options with the closest match,
 * and missing options and arguments.
 *
 * @example
 * checkUsage(cli.definitions(), ['jobs', 'submt']) // 'there is no command jobs submt; did you mean jobs submit?'
 */
export function checkUsage (definitions: readonly CommandDefinition[], args: readonly string[], environment: Environment = process.env): string {
  const paths = definitions.map(definition => ({ definition, path: listPath(definition) }))
  const match = paths.find(({ path }) => path.every((word, i) => args[i] === word))
  return match === undefined
    ? checkPath(paths.map(({ path }) => path), args)
    : checkCommand(match.definition, args.slice(match.path.length), environment)
}

function listPath ({ path }: CommandDefinition): readonly string[] {
  return path.split(' ').slice(1).filter(word => /^[a-z]/.test(word))
}

/** Parses the names of an option from its usage text, such as `-s,--since #0`, which is all that clipanion exposes. */
function listNames ({ definition }: CommandDefinition['options'][number]): readonly string[] {
  return definition.split(' ')[0]!.split(',')
}

function checkPath (paths: ReadonlyArray<readonly string[]>, args: readonly string[]): string {
  const [first = '', second] = args
  const group = paths.filter(path => path.length > 1 && path[0] === first)
  if (group.length === 0) return `there is no command ${first}${showSuggestion(first, [...new Set(paths.map(path => path[0]!))])}`
  const seconds = group.map(path => path[1]!)
  return second === undefined || second.startsWith('-')
    ? `${first} needs one of ${seconds.join(', ')}`
    : `there is no command ${first} ${second}${showSuggestion(second, seconds, first + ' ')}`
}

function checkCommand (definition: CommandDefinition, args: readonly string[], environment: Environment): string {
  const name = listPath(definition).join(' ')
  const { options, positionals } = splitArguments(definition, args)
  const known = definition.options.flatMap(listNames)
  const required = definition.usage.match(/<[^>]+>/g) ?? []
  const findings = [
    ...options.filter(option => !known.includes(option)).map(option => `${name} has no option ${option}${showSuggestion(option, known)}`),
    ...definition.options
      .filter(option => option.required && !listNames(option).some(known => options.includes(known) || environment[entryVariables[known] ?? ''] !== undefined))
      .map(option => `${name} needs ${listNames(option)[0]!}, ${option.description ?? ''}${showEnvironmentVariable(listNames(option)[0]!)}`),
    ...required.slice(positionals.length).map(argument => `${name} needs ${argument}`),
    ...positionals.slice(required.length).map(word => `${name} doesn't take ${word}`)
  ]
  return findings.length === 0 ? `${name}: an option is missing its value` : findings.join('\n')
}

/** Splits arguments into the names of options and the positional arguments; values of options are left out. */
function splitArguments (definition: CommandDefinition, args: readonly string[]): { readonly options: readonly string[], readonly positionals: readonly string[] } {
  const withValue = new Set(definition.options.filter(({ definition }) => definition.includes('#')).flatMap(listNames))
  const isValue = (i: number): boolean => i > 0 && withValue.has(args[i - 1]!)
  return {
    options: args.filter((word, i) => word.startsWith('-') && !isValue(i)).map(word => word.split('=')[0]!),
    positionals: args.filter((word, i) => !word.startsWith('-') && !isValue(i))
  }
}

function showSuggestion (wrong: string, known: readonly string[], before = ''): string {
  const right = suggestWord(wrong, known)
  return right === undefined ? '' : `; did you mean ${before}${right}?`
}

function showEnvironmentVariable (option: string): string {
  return entryVariables[option] === undefined ? '' : ` (or set ${entryVariables[option]})`
}
