import test, { type ExecutionContext } from 'ava'
import { createServer, type RequestListener } from 'node:http'
import { Agent, buildConnector, request } from 'undici'
import { listen } from '../../src/http/listen.js'
import { checkProcess } from '../../src/routing/servers/check-process.js'

const LISTED = 1_000
const OTHER = 2_000

interface Trial { readonly status: number | undefined, readonly others: readonly number[] }

/** Sends a request to a server whose process started at `LISTED` by its entry. */
async function trySend (t: ExecutionContext, report: (startedAt: number) => RequestListener, startedAt: number): Promise<Trial> {
  const server = createServer((req, res) => req.url === '/report' ? report(startedAt)(req, res) : res.end('ran'))
  const port = await listen(server, '127.0.0.1', 0)
  const others: number[] = []
  const connect = checkProcess(buildConnector({ timeout: 400 }), {
    report: { path: '/report', readStart: body => Number(body.toString()) },
    processes: { listStarts: () => [LISTED], recordStated: () => {}, recordUnlisted: (_address, other) => { others.push(other) }, recordUnstated: () => {} }
  })
  const agent = new Agent({ connect })
  t.teardown(async () => {
    await agent.destroy()
    server.close()
    server.closeAllConnections()
  })
  const answer = await request(`http://127.0.0.1:${port}/ask`, { dispatcher: agent, method: 'POST', body: 'x' }).catch(() => undefined)
  return { status: answer?.statusCode, others }
}

const ends: Readonly<Record<string, (startedAt: number) => RequestListener>> = {
  'says that it closes the connection': startedAt => (_req, res) => { res.writeHead(200, { connection: 'close' }).end(String(startedAt)) },
  'ends its report with the connection': startedAt => ({ socket }) => { socket.end(`HTTP/1.1 200 OK\r\n\r\n${startedAt}`) }
}

for (const [name, report] of Object.entries(ends)) {
  // Guards against a server that gets no request because no connection outlives its report.
  test(`a server that ${name} gets requests`, async t => {
    t.deepEqual(await trySend(t, report, LISTED), { status: 200, others: [] })
  })

  // Guards against taking another process for the listed one because its connections close.
  test(`another process than the listed one that ${name} gets no requests`, async t => {
    t.deepEqual(await trySend(t, report, OTHER), { status: undefined, others: [OTHER] })
  })
}
