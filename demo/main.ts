import { request } from 'undici'
import { Fleet } from '../harness/fleet.js'
import { readFolder } from '../src/config/read-folder.js'

const DOMAINS = ['domain-a', 'domain-b', 'domain-c']

async function main (): Promise<void> {
  const fleet = await Fleet.start()
  try {
    await Promise.all([
      ...Array.from({ length: 6 }, async (_, i) => await fleet.addServer(`engine-${i}`, DOMAINS[i % 3]!, { pool: 'charter-engines', kind: 'engine' })),
      fleet.addServer('tide-0', DOMAINS[0]!, { pool: 'tide-tables', kind: 'service' }),
      fleet.addServer('booking-0', DOMAINS[1]!, { pool: 'booking-desk', kind: 'service' })
    ])
    await Promise.all(Array.from({ length: 6 }, async (_, i) => await fleet.addDaemon(`entry-${i}`, DOMAINS[i % 3]!)))
    await fleet.apply(readFolder('demo/folder').unwrap())
    const base = fleet.url(fleet.daemons[1]!)
    const headers = { authorization: 'Bearer quay-desk-token', 'content-type': 'application/json' }
    console.log('addresses', await (await request(`${base}/v1/addresses`)).body.text())
    for (const stream of [false, true]) {
      const body = JSON.stringify({ model: 'berth-assistant', stream, max_tokens: 4, messages: [{ role: 'user', content: 'When is high tide?' }] })
      const answer = await request(`${base}/v1/chat/completions`, { method: 'POST', headers, body })
      console.log(answer.statusCode, await answer.body.text())
    }
    const booking = await request(`${base}/services/bookings/slots`, { method: 'POST', headers, body: '{"slot":3}' })
    console.log(booking.statusCode, await booking.body.text())
    const lines = Array.from({ length: 450 }, (_, i) => JSON.stringify({
      custom_id: `item-${i}`,
      method: 'POST',
      url: '/v1/chat/completions',
      body: { model: 'berth-assistant', max_tokens: 8, messages: [{ role: 'user', content: i === 7 ? '[impossible]' : `Draft ${i}` }] }
    }))
    const form = new FormData()
    form.set('purpose', 'batch')
    form.set('file', new Blob([lines.join('\n')]), 'drafts.jsonl')
    const auth = { authorization: headers.authorization }
    const file: any = await (await fetch(`${base}/v1/files`, { method: 'POST', headers: auth, body: form })).json()
    const submit = { method: 'POST' as const, headers, body: JSON.stringify({ input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h' }) }
    const job: any = await (await fetch(`${base}/v1/batches`, submit)).json()
    console.log(job)
    await fleet.waitUntil(async () => {
      const status: any = await (await fetch(`${base}/v1/batches/${job.id}`, { headers: auth })).json()
      return status.status === 'completed'
    })
    for (const which of ['output', 'errors']) {
      const results = await (await fetch(`${base}/v1/files/${job.id}.${which}/content`, { headers: auth })).text()
      console.log(which, results.trim().split('\n').length, results.slice(0, 200))
    }
    console.log(JSON.stringify(await fleet.operator('GET', fleet.daemons[1]!, '/operator/account')))
  } finally {
    await fleet.stop()
  }
}

void main()
