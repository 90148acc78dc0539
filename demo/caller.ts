import { request } from 'undici'

const TRIES = 6
const MS_PER_SECOND = 1_000

/** The last answer to one request, and how many times it was sent. */
interface FinalAnswer { readonly status: number, readonly text: string, readonly sends: number }

/**
 * A caller that reads entry addresses from the system, caches them for the given time and connects to them in turn. It
 * sends a request again, to the next address, after a lost connection or an answer that asks for a retry.
 */
export class Caller {
  /** Answers received, of any status. */
  answerCount = 0
  private addresses: readonly string[] = []
  private keptUntil = 0
  private turn = 0

  constructor (private readonly entryUrls: readonly string[], readonly name: string) {}

  async send (method: 'GET' | 'POST', path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<FinalAnswer> {
    let last: FinalAnswer = { status: 0, text: 'never sent', sends: 0 }
    for (let sends = 1; sends <= TRIES; sends++) {
      const url = await this.chooseAddress()
      try {
        const response = await request(url + path, {
          method,
          headers: { authorization: `Bearer ${this.name}-token`, 'content-type': 'application/json', ...headers },
          body: body === undefined ? null : JSON.stringify(body)
        })
        last = { status: response.statusCode, text: await response.body.text(), sends }
        this.answerCount++
        if (response.statusCode < 500 && response.statusCode !== 429 && response.statusCode !== 409) return last
        await this.pause(Number(response.headers['retry-after'] ?? 0) * MS_PER_SECOND)
      } catch (error) {
        last = { status: 0, text: String((error as Error).message), sends }
        this.keptUntil = 0
      }
    }
    return last
  }

  private async chooseAddress (): Promise<string> {
    if (Date.now() > this.keptUntil) await this.refreshAddresses()
    return this.addresses[this.turn++ % this.addresses.length]!
  }

  private async refreshAddresses (): Promise<void> {
    for (const url of this.entryUrls) {
      try {
        const response = await request(`${url}/v1/addresses`, { headers: { authorization: `Bearer ${this.name}-token` } })
        const { addresses, keep } = await response.body.json() as { addresses: { url: string }[], keep: number }
        this.addresses = addresses.map(({ url }) => url)
        this.keptUntil = Date.now() + keep
        if (this.addresses.length > 0) return
      } catch {
        // The entry instance is gone: try the next one.
      }
    }
    throw new Error('no entry instance returned addresses')
  }

  private async pause (time: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, time))
  }
}
