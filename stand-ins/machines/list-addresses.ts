import { request } from 'undici'

/** Lists the entry addresses that a daemon announces to callers. */
export async function listAddresses (port: number): Promise<readonly string[]> {
  const answer = await request(`http://127.0.0.1:${port}/api/lookup?name=desk.example&zone=a`)
  const body = await answer.body.json() as { readonly addrs?: readonly string[] }
  return body.addrs ?? []
}
