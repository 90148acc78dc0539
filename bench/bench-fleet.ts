import { Fleet } from '../harness/fleet.js'
import { engineOptions } from './engine-options.js'
import type { Site } from './site.js'

const DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const FOLDER = 'bench/folder'

const POOL = 'charter-engines'

/** Options of a bench fleet; all other keys are settings of each daemon. */
interface BenchFleetOptions {
  readonly folder?: string
  readonly enginesPerProcess?: number
  readonly [setting: string]: unknown
}

/** Starts the processes of a site and applies the bench's configuration. */
export async function startBenchFleet ({ engines, daemons }: Pick<Site, 'engines' | 'daemons'>, { folder = FOLDER, enginesPerProcess = 1, ...settings }: BenchFleetOptions = {}): Promise<Fleet> {
  const fleet = await Fleet.start()
  await Promise.all([
    ...(enginesPerProcess === 1 ? addEngines(fleet, engines) : addSharedEngines(fleet, engines, enginesPerProcess)),
    ...Array.from({ length: daemons }, async (_, i) => await fleet.addDaemon(`entry-${i}`, DOMAINS[i % DOMAINS.length]!, { log: { level: 'error', format: 'text' }, ...settings }))
  ])
  await fleet.apply(folder)
  return fleet
}

function addEngines (fleet: Fleet, count: number): readonly Promise<unknown>[] {
  return Array.from({ length: count }, async (_, i) => await fleet.addServer(`engine-${i}`, DOMAINS[i % DOMAINS.length]!, { pool: POOL, kind: 'engine', options: engineOptions }))
}

function addSharedEngines (fleet: Fleet, count: number, each: number): readonly Promise<unknown>[] {
  return Array.from({ length: Math.ceil(count / each) }, async (_, process) => {
    const names = Array.from({ length: Math.min(each, count - process * each) }, (_, i) => `engine-${process * each + i}`)
    await fleet.addEngines(names, DOMAINS[process % DOMAINS.length]!, { pool: POOL, options: engineOptions })
  })
}
