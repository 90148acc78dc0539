import test, { type ExecutionContext } from 'ava'
import { Agent, request } from 'undici'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'

const ADDRESS_KEEP = 500
const CALLERS = 6

async function startFleet (t: ExecutionContext, size: number, engines = 1): Promise<Fleet> {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  for (let i = 0; i < engines; i++) await fleet.addServer(`engine-${i}`, `domain-${i}`, { pool: 'charter-engines', kind: 'engine', options: { stepBase: 30 } })
  for (let i = 0; i < size; i++) await fleet.addDaemon(`entry-${i}`, `domain-${i}`)
  const configuration = readFolder('demo/folder').unwrap()
  await fleet.apply({ ...configuration, limits: { ...configuration.limits, addressKeep: ADDRESS_KEEP } })
  await fleet.waitUntil(async () => (await readAddresses(fleet.url(fleet.daemons[size - 1]!))).length === Math.min(3, size))
  return fleet
}

async function readAddresses (url: string): Promise<readonly string[]> {
  const { addresses } = await (await request(`${url}/v1/addresses`)).body.json() as { addresses: { url: string }[] }
  return addresses.map(({ url }) => url)
}

/** Callers that send requests until stopped, with cached answers of /v1/addresses and over keep-alive connections. */
class Load {
  answers = 0
  readonly failures: string[] = []
  private running = true
  private readonly agent: Agent
  private readonly loops: Promise<void>[]

  constructor (private readonly first: string, readonly callers = CALLERS, private readonly tokens = 4) {
    this.agent = new Agent({ connections: Math.max(4, callers / 3) })
    this.loops = Array.from({ length: callers }, async (_, i) => await this.run(i))
  }

  async stop (): Promise<void> {
    this.running = false
    await Promise.all(this.loops)
  }

  private async run (caller: number): Promise<void> {
    let kept: readonly string[] = []
    let until = 0
    for (let n = 0; this.running; n++) {
      if (Date.now() >= until) {
        kept = await readAddresses(this.first)
        until = Date.now() + ADDRESS_KEEP
      }
      await this.ask(kept[(caller + n) % kept.length]!, caller % 2 === 0)
    }
  }

  /** `anew`: over a new connection. */
  private async ask (url: string, anew: boolean): Promise<void> {
    try {
      const { statusCode, body } = await request(`${url}/v1/chat/completions`, {
        method: 'POST',
        dispatcher: this.agent,
        reset: anew,
        headers: { authorization: 'Bearer quay-desk-token' },
        body: JSON.stringify({ model: 'berth-assistant', stream: true, max_tokens: this.tokens, messages: [{ role: 'user', content: 'tide?' }] })
      })
      const text = await body.text()
      if (statusCode !== 200 || !text.endsWith('data: [DONE]\n\n')) this.failures.push(`${statusCode} ${text.slice(-80)}`)
      else this.answers++
    } catch (error) {
      this.failures.push(`${url}: ${(error as Error).message}`)
    }
  }
}

/** Ends `count` daemons in turn under the load, then waits for one more answer per caller; no request may fail. */
async function endInTurn (t: ExecutionContext, fleet: Fleet, load: Load, count: number): Promise<void> {
  for (const { child } of fleet.daemons.slice(0, count)) {
    child.signal('SIGTERM')
    t.is(await child.waitForExit(), 0)
  }
  const before = load.answers
  await fleet.waitUntil(async () => load.answers > before + load.callers)
  await load.stop()
  t.deepEqual(load.failures, [])
}

// Guards against requests that are cut when a daemon exits, or closes idle connections, while callers still use its address.
test('half the daemons end one after another under load: no request fails, and each exits with 0', async t => {
  const fleet = await startFleet(t, 4)
  const load = new Load(fleet.url(fleet.daemons[3]!))
  await fleet.waitUntil(async () => load.answers > 2 * CALLERS)
  await endInTurn(t, fleet, load, 2)
})

// The same under full load: a draining daemon has many streams in flight, and the others, which are busy too, receive its callers.
test('half of six daemons end one after another under full load of streams: no request fails', async t => {
  const fleet = await startFleet(t, 6, 3)
  const callers = 72
  const load = new Load(fleet.url(fleet.daemons[5]!), callers, 24)
  await fleet.waitUntil(async () => load.answers > 2 * callers)
  await endInTurn(t, fleet, load, 3)
})

// Guards against a daemon that exits before its longest stream has ended, or that stays in the addresses until then.
test('a drained daemon finishes its longest stream, and is out of all addresses first', async t => {
  const fleet = await startFleet(t, 2)
  const [leaving, staying] = fleet.daemons.map(daemon => fleet.url(daemon))
  const caller = new CallerClient(leaving!, 'quay-desk-token')
  const stream = caller.chat('berth-assistant', 'a long one', { stream: true, tokens: 100 })
  await fleet.operator('POST', fleet.daemons[0]!, '/operator/drain')
  await fleet.waitUntil(async () => !(await readAddresses(staying!)).includes(leaving!))
  t.deepEqual(await readAddresses(leaving!), [staying!])
  t.is((await caller.chat('berth-assistant', 'one more')).status, 200)
  t.true((await stream).text.endsWith('data: [DONE]\n\n'))
  t.is(await fleet.daemons[0]!.child.waitForExit(), 0)
})
