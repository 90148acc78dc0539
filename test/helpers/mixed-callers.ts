import { request } from 'node:http'
import type { Random } from '../../src/kernel/random.js'

/** Longest silence that a caller bears before it goes elsewhere, and its whole patience, ms. */
const SILENCE = 2_000
const PATIENCE = 12_000
const REST = { least: 20, most: 250 }
/** One in so many attempts is left by its caller. */
const LEAVES_ONE_IN = 8
const EVENT = /^id: (\d+)\ndata: .* of (\S+)$/
const OK = 200

/** What one caller received over all attempts at its stream. Times in ms. */
export interface MixedStream {
  readonly path: string
  readonly ids: readonly number[]
  readonly versions: readonly string[]
  readonly end: 'whole' | 'given up'
  /** Statuses of its attempts, 0 where none came; those from `resumed` on are for the rest of a stream. */
  readonly statuses: readonly number[]
  readonly resumed: number
  readonly attempts: readonly string[]
}

interface MixedCallersOptions {
  readonly ports: readonly number[]
  readonly random: Random
  readonly events: number
}

interface Attempt { readonly id: string, readonly path: string, readonly port: number, readonly resumption: Readonly<Record<string, string>>, readonly leaveAfter: number }

const pause = async (time: number): Promise<void> => await new Promise(resolve => setTimeout(resolve, time))

/** Callers that read streams, leave some of them, and go on at other daemons from the last event that they have. */
export class MixedCallers {
  readonly streams: MixedStream[] = []
  private count = 0

  constructor (private readonly options: MixedCallersOptions) {}

  /** Asks for a new stream every `period` ms until `end`, by `performance.now`; resolves once all have ended. */
  async run (period: number, end: number): Promise<void> {
    const reading: Array<Promise<void>> = []
    while (performance.now() < end) {
      reading.push(this.readStream(`/quotes/${this.count++}`))
      await pause(period)
    }
    await Promise.all(reading)
  }

  private async readStream (path: string): Promise<void> {
    const { ports, random, events } = this.options
    const began = performance.now()
    const stream = { path, ids: [] as number[], versions: [] as string[], statuses: [] as number[], attempts: [] as string[], resumed: Infinity }
    let origin = ''
    for (let n = 0; performance.now() < began + PATIENCE; n++) {
      const id = `${path.slice(1).replace('/', '-')}-${n}`
      const leaveAfter = random.below(LEAVES_ONE_IN) === 0 ? 1 + random.below(events) : Infinity
      const resumption: Record<string, string> = origin === '' ? {} : { resumes: origin, 'last-event-id': String(stream.ids.at(-1)) }
      const { status, isWhole } = await this.attempt({ id, path, port: ports[random.below(ports.length)]!, resumption, leaveAfter }, stream)
      stream.statuses.push(status)
      stream.attempts.push(id)
      if (origin === '' && stream.ids.length > 0) {
        origin = id
        stream.resumed = stream.statuses.length
      }
      if (isWhole) {
        this.streams.push({ ...stream, end: 'whole' })
        return
      }
      await pause(REST.least + random.below(REST.most - REST.least))
    }
    this.streams.push({ ...stream, end: 'given up' })
  }

  private async attempt ({ id, path, port, resumption, leaveAfter }: Attempt, { ids, versions }: { readonly ids: number[], readonly versions: string[] }): Promise<{ readonly status: number, readonly isWhole: boolean }> {
    return await new Promise(resolve => {
      let text = ''
      let fresh = 0
      const sent = request({ port, path, method: 'POST', agent: false, timeout: SILENCE, headers: { host: 'desk.example', 'x-request-id': id, 'x-deadline-ms': '5000', ...resumption } }, answer => {
        const settle = (isWhole: boolean): void => {
          sent.destroy()
          resolve({ status: answer.statusCode!, isWhole: isWhole && answer.statusCode === OK })
        }
        answer.on('data', (bytes: Buffer) => {
          text += bytes.toString()
          for (let end = text.indexOf('\n\n'); end >= 0 && fresh < leaveAfter; end = text.indexOf('\n\n')) {
            const [, number, version] = EVENT.exec(text.slice(0, end)) ?? []
            text = text.slice(end + 2)
            if (number === undefined) continue
            fresh++
            ids.push(Number(number))
            versions.push(version!)
          }
          if (fresh >= leaveAfter) settle(false)
        })
        answer.on('end', () => settle(answer.complete && fresh < leaveAfter))
        answer.on('error', () => settle(false))
      })
      sent.on('timeout', () => sent.destroy())
      sent.on('error', () => resolve({ status: 0, isWhole: false }))
      sent.end('x')
    })
  }
}
