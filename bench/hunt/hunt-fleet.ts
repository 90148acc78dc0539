import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Fleet } from '../../harness/fleet.js'
import type { EngineRun } from './engine-run.js'
import { huntSize } from './hunt-size.js'
import { readRunFiles } from './read-run-files.js'

const DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const FOLDER = 'demo/folder'
/** Steps long enough that items and answers are in flight when something happens. */
const ENGINE = { stepBase: 8, stepPerSequence: 0.3 }

/** A fleet whose servers write down what they run in files, which outlive them. */
export class HuntFleet {
  private constructor (readonly fleet: Fleet, private readonly folder: string) {}

  static async start (deadline: number): Promise<HuntFleet> {
    const fleet = await Fleet.start()
    const hunt = new HuntFleet(fleet, mkdtempSync(join(tmpdir(), 'citronwheel-hunt-')))
    await Promise.all([
      ...Array.from({ length: huntSize.engines }, async (_, i) => await hunt.addServer(`engine-${i}`, i, 'charter-engines', 'engine')),
      ...Array.from({ length: huntSize.services }, async (_, i) => await hunt.addServer(`booking-${i}`, i, 'booking-desk', 'service')),
      hunt.addServer('tide-0', 0, 'tide-tables', 'service'),
      ...Array.from({ length: huntSize.daemons }, async (_, i) => await hunt.addDaemon(i))
    ])
    await fleet.applyFiles({ ...Fleet.readFiles(FOLDER), '90-hunt.yaml': `limits:\n  deadline: ${deadline}\n` })
    return hunt
  }

  async addDaemon (n: number): Promise<void> {
    await this.fleet.addDaemon(`entry-${n}`, DOMAINS[n % DOMAINS.length]!, { log: { level: 'error', format: 'text' } })
  }

  /** All runs, those of servers that are gone too. */
  listRuns (): { readonly ids: readonly string[], readonly engineRuns: Readonly<Record<string, EngineRun>> } {
    const files = this.fleet.servers.map(({ instance }) => join(this.folder, instance.name)).filter(file => existsSync(file))
    return readRunFiles(files.map(file => readFileSync(file, 'utf8')))
  }

  async stop (): Promise<void> {
    await this.fleet.stop()
    rmSync(this.folder, { recursive: true, force: true })
  }

  private async addServer (name: string, n: number, pool: string, kind: 'engine' | 'service'): Promise<void> {
    const runFile = join(this.folder, name)
    await this.fleet.addServer(name, DOMAINS[n % DOMAINS.length]!, { pool, kind, options: kind === 'engine' ? { ...ENGINE, runFile, runMark: name } : { runFile } })
  }
}
