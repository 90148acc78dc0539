import type { RunLine } from '../../stand-ins/engine/run-line.js'
import type { EngineRun } from './engine-run.js'

/** Parses the texts of run files into the ids of all runs, one entry per run, and the engines' runs by their mark. */
export function readRunFiles (texts: readonly string[]): { readonly ids: readonly string[], readonly engineRuns: Readonly<Record<string, EngineRun>> } {
  const ids: string[] = []
  const engineRuns: Record<string, EngineRun> = {}
  for (const line of texts.flatMap(text => text.split('\n')).filter(line => line !== '')) {
    const read = line.startsWith('{') ? JSON.parse(line) as RunLine : line
    if (typeof read === 'string') ids.push(read)
    else if (read.type === 'ended') engineRuns[read.run] = { ...engineRuns[read.run]!, outcome: read.outcome }
    else {
      ids.push(read.id)
      engineRuns[read.run] = { id: read.id, resumed: read.resumed, from: read.from }
    }
  }
  return { ids, engineRuns }
}
