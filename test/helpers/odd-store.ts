import { createServer, request, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { listen } from '../../src/http/listen.js'

const SERVERS = /^\/api\/objects\/servers(?:\?|$)/

/** A way to a store on which lists and watches of servers have further entries, as raw JSON texts that no JSON library would write. */
export class OddStore {
  /** Entries as they stand in a list, in place of objects. */
  entries: readonly string[] = []
  private readonly server: Server

  constructor () {
    this.server = createServer((req, res) => { void this.handle(req, res) })
  }

  /** Opens the way to the store at `port`; resolves with its own port. */
  async open (port: number): Promise<number> {
    this.port = port
    return await listen(this.server, '127.0.0.1', 0)
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private port = 0

  private async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const onward = request({ host: '127.0.0.1', port: this.port, path: req.url, method: req.method, headers: req.headers }, answer => {
      const parts: Buffer[] = []
      answer.on('data', (part: Buffer) => parts.push(part))
      answer.on('end', () => {
        const body = this.change(req, Buffer.concat(parts).toString())
        res.writeHead(answer.statusCode!, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
        res.end(body)
      })
    })
    onward.on('error', () => res.destroy())
    res.on('close', () => onward.destroy())
    req.pipe(onward)
  }

  private change ({ method, url = '' }: IncomingMessage, body: string): string {
    if (method !== 'GET' || !SERVERS.test(url) || this.entries.length === 0) return body
    const events = this.entries.map(entry => `{"tombstone":false,"object":${entry}}`)
    return body.replace(/"(items|events)":\[(?=(.))/, (whole, name: string, next: string) => whole + (name === 'items' ? this.entries : events).join(',') + (next === ']' ? '' : ','))
  }
}
