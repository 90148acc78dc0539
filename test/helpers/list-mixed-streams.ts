import type { EventEngine } from '../../stand-ins/machines/event-engine.js'

/** Lists the versions of the runs of each path since its last run from the beginning, where there are several. */
export function listMixedStreams (engines: readonly EventEngine[]): readonly string[] {
  const runs = engines.flatMap(engine => engine.runs.map(run => ({ ...run, version: typeof engine.version === 'string' && engine.version !== '' ? engine.version : `?${engine.id}` }))).sort((a, b) => a.at - b.at)
  return [...new Set(runs.map(({ path }) => path))].flatMap(path => {
    const own = runs.filter(run => run.path === path)
    const begin = own.findLastIndex(({ resumedAfter }) => resumedAfter === undefined)
    const versions = new Set(own.slice(Math.max(0, begin)).filter(({ events, resumedAfter }) => events > 0 || resumedAfter !== undefined).map(({ version }) => version))
    return versions.size > 1 ? [`${path}: ${[...versions].join(', ')}`] : []
  })
}
