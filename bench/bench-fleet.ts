import { Fleet } from '../harness/fleet.js'
import { engineOptions } from './engine-options.js'
import type { Site } from './site.js'

const DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const FOLDER = 'bench/folder'

/** Starts the processes of a site and applies the bench's configuration; `settings` go to each daemon. */
export async function startBenchFleet ({ engines, daemons }: Pick<Site, 'engines' | 'daemons'>, { folder = FOLDER, ...settings }: Readonly<Record<string, unknown>> & { readonly folder?: string } = {}): Promise<Fleet> {
  const fleet = await Fleet.start()
  await Promise.all([
    ...Array.from({ length: engines }, async (_, i) => await fleet.addServer(`engine-${i}`, DOMAINS[i % DOMAINS.length]!, { pool: 'charter-engines', kind: 'engine', options: engineOptions })),
    ...Array.from({ length: daemons }, async (_, i) => await fleet.addDaemon(`entry-${i}`, DOMAINS[i % DOMAINS.length]!, { log: { level: 'error', format: 'text' }, ...settings }))
  ])
  await fleet.apply(folder)
  return fleet
}
