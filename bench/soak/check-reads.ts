import type { SentJob } from './sent-job.js'
import type { SoakRecord } from './soak-record.js'
import { soakSize } from './soak-size.js'

const OK = 200

/** Checks that every result that was read at any daemon is there at every daemon in the end, at its position and with its content. */
export function checkReads ({ jobs, endedAt }: SoakRecord): readonly string[] {
  return jobs.filter(({ acceptedAt }) => acceptedAt !== undefined).flatMap(job => checkJob(job, endedAt))
}

function checkJob ({ id, reads }: SentJob, endedAt: number): readonly string[] {
  const last = new Map(reads.filter(({ at }) => at >= endedAt).map(read => [read.daemon, read]))
  return [...last].flatMap(([daemon, read]) => {
    if (read.status !== OK) return [`${id} couldn't be read at daemon ${daemon} in the end: ${read.status}`]
    const known = reads.filter(({ at }) => at + soakSize.settleBound <= read.at).reduce<SentJob['reads'][number]['results']>((longest, { results }) => results.length > longest.length ? results : longest, [])
    const missing = known.findIndex((result, i) => JSON.stringify(result) !== JSON.stringify(read.results[i]))
    return missing < 0 ? [] : [`${id}: position ${missing} was read before, and daemon ${daemon} has ${String(read.results[missing]?.id)} there at ${read.at} ms instead of ${known[missing]!.id}`]
  })
}
