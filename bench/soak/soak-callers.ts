import type { Agent } from 'undici'
import { createAgent } from '../../src/http/create-agent.js'
import { RoutedEntryClient } from '../../stand-ins/machines/routed-entry-client.js'
import type { SentRequest } from './sent-request.js'
import type { SoakFleet } from './soak-fleet.js'
import { soakKeys } from './soak-keys.js'
import { soakSize } from './soak-size.js'

const KINDS = ['quotes', 'berths', 'quotes', 'extra'] as const
/** Requests of the hot organisation for each usual one; every n-th time an intruder sends one. */
const HOT_FACTOR = 2
const INTRUDER_EVERY = 10
const NOT_FOUND = 404
/** Statuses that guarantee that the request has not run. */
const NOT_RUN = [429, 503, 408, 421]

/** Sends online requests to the daemons in turn over persistent connections, and records the responses. */
export class SoakCallers {
  readonly requests: SentRequest[] = []
  private turn = 0
  private readonly agents: readonly Agent[]

  constructor (private readonly soak: SoakFleet) {
    this.agents = Array.from({ length: soak.daemons }, () => createAgent({ connections: 16, keepAliveTimeout: 15_000, keepAliveMaxTimeout: 15_000 }))
  }

  /** Sends requests at a constant rate until `end`, and waits for all responses; a hot organisation and an intruder send as well. */
  async sendAll (end: number): Promise<void> {
    const sent: Array<Promise<void>> = []
    for (let n = 0; this.soak.now() < end; n++) {
      sent.push(this.send(`${n}`, KINDS[n % KINDS.length]!, soakKeys.usual))
      for (let i = 0; i < HOT_FACTOR; i++) sent.push(this.send(`${n}-hot-${i}`, 'quotes', soakKeys.hot))
      if (n % INTRUDER_EVERY === 0) sent.push(this.send(`${n}-intruder`, 'quotes', soakKeys.intruder))
      await new Promise(resolve => setTimeout(resolve, soakSize.requestPeriod))
    }
    await Promise.all(sent)
  }

  async close (): Promise<void> {
    await Promise.all(this.agents.map(async agent => await agent.destroy()))
  }

  private async send (n: string, kind: string, { name, key }: { readonly name: string, readonly key: string }): Promise<void> {
    const daemon = this.turn++ % this.soak.daemons
    const prefix = this.buildPrefix(n)
    const sent = { id: `r-${n}`, daemon, at: this.soak.now(), path: `/${kind}/${n}`, caller: name, resumable: kind !== 'berths' }
    const answer = await this.read(sent, key, prefix)
    this.requests.push({ ...sent, ...answer, until: this.soak.now() })
    const events = answer.text.split('\n\n').length - 1
    if (answer.outcome !== 'cut' || !sent.resumable || events === 0) return
    const resumed = { ...sent, id: `${sent.id}-again`, daemon: this.turn++ % this.soak.daemons, at: this.soak.now(), resumption: { resumes: sent.id, after: events } }
    this.requests.push({ ...resumed, ...await this.read(resumed, key, prefix), until: this.soak.now() })
  }

  /** Returns the parts of a request's prompt: one that all have, one of its own, and for some of the usual organisation one that crashes servers. */
  private buildPrefix (n: string): string | undefined {
    if (!this.soak.usesParts) return undefined
    const isBad = this.soak.sendsBadParts && Number(n) % soakSize.badEvery === 0
    return ['common', ...isBad ? [soakSize.badPart] : [], `own-${n}`].map(part => `${part}:10`).join()
  }

  private async read ({ id, daemon, path, resumption }: Pick<SentRequest, 'id' | 'daemon' | 'path' | 'resumption'>, key: string, prefix: string | undefined): Promise<Pick<SentRequest, 'outcome' | 'status' | 'stamp' | 'text'>> {
    const none = { status: 0, stamp: undefined, text: '' }
    const answer = await new RoutedEntryClient(this.soak.callerRelays[daemon]!.address, soakSize.deadline).openStream({ id, path, resumption, dispatcher: this.agents[daemon]!, deadline: soakSize.deadline, key, prefix })
    if (answer === undefined) return { outcome: 'no connection', ...none }
    const { status, stamp, body } = answer
    const known = { status, stamp }
    let text = ''
    try {
      for await (const bytes of body) text += Buffer.from(bytes).toString()
    } catch {
      return { outcome: 'cut', ...known, text }
    }
    return { outcome: status < 300 ? 'whole' : status === NOT_FOUND ? 'no route' : NOT_RUN.includes(status) ? 'refused' : 'failed', ...known, text }
  }
}
