import { request } from 'undici'

/** The addresses that a daemon names to a caller; none where it names none. */
export async function listAddresses (port: number): Promise<readonly string[]> {
  const answer = await request(`http://127.0.0.1:${port}/api/lookup?name=desk.example&zone=a`)
  const body = await answer.body.json() as { readonly addrs?: readonly string[] }
  return body.addrs ?? []
}
