import { request } from 'undici'
import type { Fleet } from '../../harness/fleet.js'

const POLL_PERIOD = 100 // ms
const REQUEST_TIMEOUT = 1_000 // ms

/** Polls which configuration version each daemon process uses, and makes concurrent updates to it. */
export class ConfigurationWatch {
  readonly accepted: number[] = []
  private readonly seen = new Map<string, number[]>()
  private readonly timer: NodeJS.Timeout

  constructor (private readonly fleet: Fleet) {
    this.timer = setInterval(() => { void this.poll() }, POLL_PERIOD)
  }

  get versions (): ReadonlyArray<{ readonly daemon: string, readonly versions: readonly number[] }> {
    return [...this.seen].map(([daemon, versions]) => ({ daemon, versions }))
  }

  close (): void {
    clearInterval(this.timer)
  }

  /** Sends two concurrent updates of the same version through two daemons, and records the versions that are accepted. */
  async raceUpdates (round: number): Promise<void> {
    const basedOn = Math.max(0, ...[...this.seen.values()].flat())
    await Promise.all(this.fleet.daemons.slice(0, 2).map(async (daemon, n) => {
      const put = { [`95-operator-${n}.yaml`]: `limits:\n  queueWait: ${500 + round * 10 + n}\n` }
      const answer = await this.ask(this.fleet.url(daemon), 'PUT', '/operator/configuration', { basedOn, put, remove: [], by: `operator-${n}` })
      if (answer !== undefined) this.accepted.push(answer.version)
    }))
  }

  /** Returns the version that each of these daemons uses now, or -1 where it doesn't answer. */
  async readLast (daemons: Fleet['daemons']): Promise<readonly number[]> {
    return await Promise.all(daemons.map(async daemon => (await this.ask(this.fleet.url(daemon), 'GET', '/operator/configuration'))?.version ?? -1))
  }

  private async poll (): Promise<void> {
    await Promise.all(this.fleet.daemons.map(async ({ instance }) => {
      const answer = await this.ask(`http://${instance.host}:${instance.port}`, 'GET', '/operator/configuration')
      if (answer === undefined) return
      const name = `${instance.name}:${instance.port}`
      const seen = this.seen.get(name) ?? []
      this.seen.set(name, seen)
      if (seen.at(-1) !== answer.version) seen.push(answer.version)
    }))
  }

  private async ask (url: string, method: 'GET' | 'PUT', path: string, body?: unknown): Promise<any> {
    try {
      const response = await request(url + path, {
        method,
        headers: { authorization: `Bearer ${this.fleet.operatorToken}` },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(method === 'GET' ? REQUEST_TIMEOUT : REQUEST_TIMEOUT * 15)
      })
      const text = await response.body.text()
      return response.statusCode === 200 ? JSON.parse(text) : undefined
    } catch {
      return undefined
    }
  }
}
