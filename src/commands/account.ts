import { Command, Option } from 'clipanion'
import type { AccountCounts } from '../admission/account/account-counts.js'
import type { MergedAccount } from '../admission/account/merged-account.js'
import { showUndercount } from '../report/show-undercount.js'
import { EntryCommand } from './entry-command.js'

/** Shows the usage and refusals of each caller over the whole fleet. */
export class AccountCommand extends EntryCommand {
  static override paths = [['account']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show the usage and refusals of each caller',
    details: 'Includes what running daemons have not written yet; the last lines show how many requests may be missing, and from which runs. Exit codes: 0 shown; 1 refused; 2 wrong usage; 3 no daemon answered.',
    examples: [['One caller since a given day', 'citronwheel account --entry http://10.0.0.1:8080 --token TOKEN --caller quay-desk --since 2026-12-01']]
  })

  caller = Option.String('--caller', { description: 'show this caller only' })
  since = Option.String('--since', { description: 'first day to count, as YYYY-MM-DD' })

  async execute (): Promise<number> {
    const query = new URLSearchParams({ ...(this.caller && { caller: this.caller }), ...(this.since && { since: this.since }) })
    const account = await this.client().call<MergedAccount & { silent: readonly string[] }>('GET', `/operator/account?${query}`)
    return this.show(account, ({ rows, mayMiss, whole, silent }) => [
      ...Object.entries(rows).sort(([a], [b]) => a < b ? -1 : 1).map(([name, counts]) => formatCaller(name, counts)),
      showUndercount(mayMiss),
      ...silent.map(name => `${name} did not answer`),
      ...whole ? [] : ['the platform could not be read: the figures cover only the daemon that answered']
    ].join('\n'))
  }
}

function formatCaller (name: string, { asked, answered, tokens, waited, refused, failed }: AccountCounts): string {
  const causes = [...Object.entries(refused).map(([cause, count]) => `${count} refused (${cause})`), ...Object.entries(failed).map(([cause, count]) => `${count} failed (${cause})`)]
  return [name, `${asked} asked`, `${answered} answered`, `${tokens} tokens`, `${Math.round(waited)} ms waited`, ...causes].join('  ')
}
