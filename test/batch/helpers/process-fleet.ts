import OpenAI from 'openai'
import { Fleet } from '../../../harness/fleet.js'

const DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const MODEL = 'berth-assistant'
export const ITEMS = 200

export const lines = (count: number, tokens: number): string => Array.from({ length: count }, (_, n) => JSON.stringify({
  custom_id: `draft-${n}`,
  method: 'POST',
  url: '/v1/chat/completions',
  body: { model: MODEL, max_tokens: tokens, messages: [{ role: 'user', content: `Draft ${n}` }] }
})).join('\n')

export async function startFleet (): Promise<Fleet> {
  const fleet = await Fleet.start()
  await Promise.all([
    ...DOMAINS.map(async domain => await fleet.addServer(`engine-${domain}`, domain, { pool: 'charter-engines', kind: 'engine' })),
    ...DOMAINS.map(async domain => await fleet.addDaemon(`entry-${domain}`, domain))
  ])
  await fleet.apply('demo/folder')
  return fleet
}

export function createClient (fleet: Fleet, daemon: number): OpenAI {
  return new OpenAI({ baseURL: `${fleet.url(fleet.daemons[daemon]!)}/v1`, apiKey: 'quay-desk-token', maxRetries: 0 })
}
