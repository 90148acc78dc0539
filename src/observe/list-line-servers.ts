import type { LogLine } from './log-line.js'

/** Lists the backend servers that a line names. */
export function listLineServers ({ fields: { server, tried } }: LogLine): readonly string[] {
  return [server, ...Array.isArray(tried) ? tried : []].filter(name => typeof name === 'string')
}
