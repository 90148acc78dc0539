import type { Settings } from '../kernel/settings.js'
import type { Instance } from './instance.js'

/** Returns the seeds of the settings as instances, for use until the platform's list has been read. */
export function listSeeds ({ seeds = [], region }: Pick<Settings, 'seeds' | 'region'>): readonly Instance[] {
  return seeds.map(({ name, host, peerPort, failureDomain }) => ({ name, host, peerPort, failureDomain, pool: 'entry', port: 0, region, state: 'live' }))
}
