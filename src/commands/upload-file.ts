import { Err, Ok, type Result } from 'ts-results'
import { fetch, FormData } from 'undici'
import { sharedAgent } from '../http/shared-agent.js'
import type { EntryError } from './entry-error.js'

interface Upload { readonly url: string, readonly token: string, readonly name: string, readonly blob: Blob }

interface Refusal { readonly detail?: string, readonly findings?: ReadonlyArray<{ readonly line: number, readonly message: string }> }

/** Uploads a batch file; a refusal lists all its findings by line. */
export async function uploadFile ({ url, token, name, blob }: Upload): Promise<Result<{ readonly id: string }, EntryError>> {
  const form = new FormData()
  form.set('purpose', 'batch')
  form.set('file', blob, name)
  try {
    const response = await fetch(new URL('/v1/files', url), { method: 'POST', dispatcher: sharedAgent, headers: { authorization: `Bearer ${token}` }, body: form })
    const answer = await response.json() as Refusal & { readonly id: string }
    if (response.status < 300) return Ok(answer)
    const retryAfter = response.headers.get('retry-after')
    return Err({ type: 'refused', status: response.status, detail: formatRefusal(answer), ...retryAfter === null ? {} : { retryAfter: Number(retryAfter) } })
  } catch (error) {
    return Err({ type: 'unreachable', detail: `${url}: ${(error as Error).message}` })
  }
}

function formatRefusal ({ detail = '', findings = [] }: Refusal): string {
  return findings.length === 0 ? detail : findings.map(({ line, message }) => `line ${line}: ${message}`).join('\n')
}
