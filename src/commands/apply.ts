import { Command, Option } from 'clipanion'
import { userInfo } from 'node:os'
import { createInterface } from 'node:readline/promises'
import { checkFiles } from '../config/check/check-files.js'
import type { KeyChange } from '../config/rollout/key-change.js'
import { readYamlFiles } from '../config/read-yaml-files.js'
import { listKeyChanges } from '../config/rollout/list-key-changes.js'
import type { RolloutStatus } from '../config/rollout/rollout-status.js'
import { formatFinding } from '../config/check/format-finding.js'
import { EntryCommand } from './entry-command.js'
import { exitCodes } from './exit-codes.js'

const HTTP_CONFLICT = 409
const HTTP_GATEWAY_TIMEOUT = 504
const POLL_PERIOD = 250 // ms
const MS_PER_SECOND = 1_000

/** The changes that a folder makes to the active version. */
interface Plan {
  readonly version: number
  readonly put: Readonly<Record<string, string>>
  readonly remove: readonly string[]
  readonly keys: readonly KeyChange[]
}

/** Submits a folder as the new configuration and waits for its rollout. */
export class ApplyCommand extends EntryCommand {
  static override paths = [['apply']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'submit a folder as the new configuration',
    details: 'Checks the folder, shows the difference, replaces the version it was based on and waits until the new one is active on all daemons. Exit codes: 0 accepted and active on every known daemon, or nothing to change; 1 findings, or refused and not accepted; 2 wrong usage, or not confirmed; 3 no daemon answered, and nothing was sent; 4 another change was accepted first; 5 accepted, but not active on all daemons yet; 6 unknown whether it was accepted.',
    examples: [
      ['Show the difference only', 'citronwheel apply fleet/ --diff --entry http://10.0.0.1:8080 --token TOKEN'],
      ['Apply what was reviewed against version 812', 'citronwheel apply fleet/ --based-on 812 --yes --entry http://10.0.0.1:8080 --token TOKEN']
    ]
  })

  folder = Option.String({ required: true })
  basedOn = Option.String('--based-on', { description: 'the version that the folder was made from; the active one by default' })
  yes = Option.Boolean('--yes', false, { description: 'apply without confirmation' })
  diff = Option.Boolean('--diff', false, { description: 'show the difference without applying it' })
  by = Option.String('--by', userInfo().username, { description: 'author of the change, for the history' })
  wait = Option.String('--wait', '10', { description: 'longest wait until it is active on all daemons, in seconds' })

  async execute (): Promise<number> {
    const files = readYamlFiles(this.folder)
    const checked = files.andThen(texts => checkFiles(texts))
    if (checked.err) return this.write({ findings: checked.val }, checked.val.map(formatFinding).join('\n'), exitCodes.refused)
    const current = await this.client().call<{ version: number, files: Record<string, string> }>('GET', '/operator/configuration/files')
    if (current.err) return this.showError(current.val)
    const plan = createPlan(current.val.version, new Map(Object.entries(current.val.files)), files.unwrap())
    const text = formatPlan(plan)
    if (this.diff || (Object.keys(plan.put).length + plan.remove.length === 0)) return this.write(plan, text, exitCodes.ok)
    if (!this.json) this.context.stdout.write(text + '\n')
    if (!await this.askToConfirm()) return exitCodes.usage
    return await this.send(plan)
  }

  private async askToConfirm (): Promise<boolean> {
    if (this.yes) return true
    if (!process.stdin.isTTY) {
      this.context.stderr.write('not applied: confirm with --yes\n')
      return false
    }
    const lines = createInterface({ input: process.stdin, output: process.stderr })
    const answer = await lines.question('apply? [y/N] ')
    lines.close()
    return /^y(es)?$/i.test(answer)
  }

  private async send ({ version, put, remove }: Plan): Promise<number> {
    const basedOn = this.basedOn === undefined ? version : Number(this.basedOn)
    const accepted = await this.client().call<{ version: number, changed: readonly string[] }>('PUT', '/operator/configuration', { basedOn, put, remove, by: this.by })
    if (accepted.ok) return await this.waitForRollout(accepted.val.version)
    const code = this.showError(accepted.val)
    if (accepted.val.type !== 'refused') return exitCodes.unknown
    if (accepted.val.status === HTTP_CONFLICT) return exitCodes.conflict
    return accepted.val.status === HTTP_GATEWAY_TIMEOUT ? exitCodes.unknown : code
  }

  private async waitForRollout (version: number): Promise<number> {
    const end = Date.now() + Number(this.wait) * MS_PER_SECOND
    for (;;) {
      const reach = await this.client().call<RolloutStatus>('GET', `/operator/configuration/reach?version=${version}`)
      const done = reach.ok && reach.val.behind.length + reach.val.silent.length === 0
      if (done || Date.now() >= end) return this.showRollout(version, reach.unwrapOr(undefined), done)
      await new Promise(resolve => setTimeout(resolve, POLL_PERIOD))
    }
  }

  private showRollout (version: number, reach: RolloutStatus | undefined, done: boolean): number {
    const lines = [`accepted as version ${version}`]
    if (reach === undefined) lines.push('the daemon did not report where it is active')
    else lines.push(`active on ${reach.acting.length} daemons`, ...reach.behind.map(({ instance, version }) => `${instance} is at version ${version}`), ...reach.silent.map(name => `${name} does not answer`))
    return this.write({ version, reach }, lines.join('\n'), done ? exitCodes.ok : exitCodes.behind)
  }

  private write (value: unknown, text: string, code: number): number {
    this.context.stdout.write((this.json ? JSON.stringify(value, null, 2) : text) + '\n')
    return code
  }
}

function createPlan (version: number, current: ReadonlyMap<string, string>, files: ReadonlyMap<string, string>): Plan {
  const put = Object.fromEntries([...files].filter(([name, text]) => current.get(name) !== text))
  const before = checkFiles(current)
  const keys = before.ok ? listKeyChanges(before.val.root, checkFiles(files).unwrap().root) : []
  return { version, put, remove: [...current.keys()].filter(name => !files.has(name)), keys }
}

function formatPlan ({ version, put, remove, keys }: Plan): string {
  const files = [...Object.keys(put).map(name => `  set     ${name}`), ...remove.map(name => `  remove  ${name}`)]
  if (files.length === 0) return `no changes against version ${version}`
  const changes = keys.map(({ file, line, key, before = 'not set', after = 'not set' }) => `  ${key}: ${before} -> ${after}  (${file}:${line})`)
  return [`changes against version ${version}:`, ...files, ...changes].join('\n')
}
