import { Cli, type BaseContext } from 'clipanion'
import { commands } from './commands.js'
import { exitCodes } from './exit-codes.js'
import { suggestWord } from '../kernel/suggest-word.js'

const VERSION = '0.1.0'

/** Runs the command that the words name; a wrong first word gets the nearest right one suggested. */
export async function runProgram (words: readonly string[], context: Partial<BaseContext> = {}): Promise<number> {
  const cli = new Cli({ binaryName: 'citronwheel', binaryLabel: 'citronwheel', binaryVersion: VERSION })
  for (const command of commands) cli.register(command)
  const { stderr = process.stderr } = context
  try {
    cli.process([...words])
  } catch (error) {
    const known = [...new Set(cli.definitions().map(({ path }) => path.split(' ')[1]!))]
    const suggestion = words[0] === undefined || known.includes(words[0]) ? undefined : suggestWord(words[0], known)
    stderr.write(suggestion === undefined ? cli.error(error) : `there is no command ${words[0]}; did you mean ${suggestion}?\n`)
    return exitCodes.usage
  }
  return await cli.run([...words], context)
}
