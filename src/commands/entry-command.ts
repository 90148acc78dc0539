import { Command, Option } from 'clipanion'
import type { Result } from 'ts-results'
import { failUnreachable } from '../kernel/unreachable.js'
import { EntryClient } from './entry-client.js'
import type { EntryError } from './entry-error.js'
import { entryVariables } from './entry-variables.js'
import { exitCodes } from './exit-codes.js'

/** Base of the commands that call a daemon: its address, the token, and the output of results and errors. */
export abstract class EntryCommand extends Command {
  entry = Option.String('--entry', { env: entryVariables['--entry']!, required: true, description: 'address of a daemon, such as http://10.0.0.1:8080' })
  token = Option.String('--token', { env: entryVariables['--token']!, required: true, description: 'bearer token' })
  json = Option.Boolean('--json', false, { description: 'print the answer as JSON' })

  /** Creates a client for the daemon of `--entry`, or for another daemon of the fleet. */
  protected client (url = this.entry): EntryClient {
    return new EntryClient(url, this.token)
  }

  /** Prints a result as JSON or with `format`, or its error; returns the exit code. */
  protected show<T> (result: Result<T, EntryError>, format: (value: T) => string): number {
    if (result.err) return this.showError(result.val)
    this.context.stdout.write((this.json ? JSON.stringify(result.val, null, 2) : format(result.val)) + '\n')
    return exitCodes.ok
  }

  protected showError (error: EntryError): number {
    if (this.json) this.context.stdout.write(JSON.stringify({ error }) + '\n')
    switch (error.type) {
      case 'unreachable':
        this.context.stderr.write(`no daemon answered: ${error.detail}\n`)
        return exitCodes.unreachable
      case 'refused':
        this.context.stderr.write(`refused (${error.status}): ${error.detail}${error.retryAfter === undefined ? '' : `; retry in ${error.retryAfter} s`}\n`)
        return exitCodes.refused
      default: return failUnreachable(error)
    }
  }
}
