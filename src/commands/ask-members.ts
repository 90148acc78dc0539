import { Ok, type Result } from 'ts-results'
import type { EntryClient } from './entry-client.js'
import type { EntryError } from './entry-error.js'
import type { FleetStatus } from './fleet-status.js'

/** Answers of the daemons, and the names of those that didn't answer. */
interface FleetAnswers<T> { readonly answers: readonly T[], readonly silent: readonly string[] }

/** Sends a GET request to every daemon in the member list of the daemon behind `client`. */
export async function askMembers<T> (client: EntryClient, path: string, connect: (url: string) => EntryClient): Promise<Result<FleetAnswers<T>, EntryError>> {
  const status = await client.call<FleetStatus>('GET', '/operator/status')
  if (status.err) return status
  const responses = await Promise.all(status.val.members.map(async ({ instance }) => {
    return { name: instance.name, answer: await connect(`http://${instance.host}:${instance.port}`).call<T>('GET', path) }
  }))
  return Ok({
    answers: responses.flatMap(({ answer }) => answer.ok ? [answer.val] : []),
    silent: responses.filter(({ answer }) => answer.err).map(({ name }) => name)
  })
}
