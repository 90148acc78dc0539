import { Cli, type BaseContext } from 'clipanion'
import { commands } from './commands.js'
import { exitCodes } from './exit-codes.js'
import { checkUsage } from './check-usage.js'
import { showHelp } from './show-help.js'

const VERSION = '0.1.0'

/** Runs the command named by the arguments. All usage errors are reported together on standard error. */
export async function runProgram (args: readonly string[], context: Partial<BaseContext> = {}): Promise<number> {
  const cli = new Cli({ binaryName: 'citronwheel', binaryLabel: 'citronwheel', binaryVersion: VERSION, enableColors: false })
  for (const command of commands) cli.register(command)
  const { stderr = process.stderr, stdout = process.stdout } = context
  const help = showHelp(cli, args)
  if (help !== undefined) {
    stdout.write(help)
    return exitCodes.ok
  }
  try {
    cli.process([...args])
  } catch (error) {
    stderr.write(isInvalidValue(error) ? `${error.message}\n` : checkUsage(cli.definitions(), args) + '\n')
    return exitCodes.usage
  }
  return await cli.run([...args], context)
}

/** Returns true for an option value that its validator rejected; other errors mean that no command matches. */
function isInvalidValue (error: unknown): error is Error {
  return error instanceof Error && error.name === 'UsageError'
}
