import type { Job } from '../../../src/batch/job.js'
import type { SimulatedDaemon } from './simulated-daemon.js'

/** Returns the recorded results of a job: the line of each item, by its custom id. */
export async function readLines (daemon: SimulatedDaemon, job: Job): Promise<ReadonlyMap<string, string>> {
  const lines = new Map<string, string>()
  for (const which of ['output', 'errors'] as const) {
    for await (const text of daemon.results.read(job, which)) {
      for (const line of text.split('\n').filter(line => line !== '')) {
        const { custom_id: id } = JSON.parse(line)
        if (lines.has(id)) throw new Error(`two results of ${id}`)
        lines.set(id, line)
      }
    }
  }
  return lines
}
