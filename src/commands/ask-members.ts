import { Ok, type Result } from 'ts-results'
import type { EntryClient } from './entry-client.js'
import type { EntryError } from './entry-error.js'
import type { FleetStatus } from './fleet-status.js'

/** What each daemon of the fleet answered, and the names of those that didn't. */
interface FleetAnswers<T> { readonly answers: readonly T[], readonly silent: readonly string[] }

/** Asks every daemon that the first one knows. Daemons that don't answer are named, not left out silently. */
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
