import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Fleet } from '../../harness/fleet.js'
import type { EngineRun } from './engine-run.js'
import { huntSize } from './hunt-size.js'
import { readRunFiles } from './read-run-files.js'

/** Regions and domains, assigned in turn to the processes of each kind. */
const ONE_REGION: readonly Location[] = ['a', 'b', 'c'].map(letter => ({ region: 'region-1', domain: `domain-${letter}` }))
const TWO_REGIONS: readonly Location[] = ['a', 'c', 'b', 'd'].map((letter, n) => ({ region: `region-${n % 2 + 1}`, domain: `domain-${letter}` }))
const FOLDER = 'demo/folder'
/** Steps that are long enough to have items and answers in flight when a trouble begins. */
const ENGINE = { stepBase: 8, stepPerSequence: 0.3 }

interface Location { readonly region: string, readonly domain: string }

/** A fleet whose servers record their runs in files, which remain when a server is killed. */
export class HuntFleet {
  private constructor (readonly fleet: Fleet, private readonly folder: string, private readonly locations: readonly Location[]) {}

  /** Starts a fleet in one region, or with `canPartition` in two regions whose daemons can be partitioned. */
  static async start (deadline: number, { canPartition = false } = {}): Promise<HuntFleet> {
    const fleet = await Fleet.start({ canPartition })
    const hunt = new HuntFleet(fleet, mkdtempSync(join(tmpdir(), 'citronwheel-hunt-')), canPartition ? TWO_REGIONS : ONE_REGION)
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
    const { region, domain } = this.chooseLocation(n)
    await this.fleet.addDaemon(`entry-${n}`, domain, { region, log: { level: 'error', format: 'text' } })
  }

  /** Returns the runs of all servers, including those that have ended. */
  listRuns (): { readonly ids: readonly string[], readonly engineRuns: Readonly<Record<string, EngineRun>> } {
    const files = this.fleet.servers.map(({ instance }) => join(this.folder, instance.name)).filter(file => existsSync(file))
    return readRunFiles(files.map(file => readFileSync(file, 'utf8')))
  }

  async stop (): Promise<void> {
    await this.fleet.stop()
    rmSync(this.folder, { recursive: true, force: true })
  }

  private async addServer (name: string, n: number, pool: string, kind: 'engine' | 'service'): Promise<void> {
    const { region, domain } = this.chooseLocation(n)
    const runFile = join(this.folder, name)
    await this.fleet.addServer(name, domain, { pool, kind, region, options: kind === 'engine' ? { ...ENGINE, runFile, runMark: name } : { runFile } })
  }

  private chooseLocation (n: number): Location {
    return this.locations[n % this.locations.length]!
  }
}
