import 'reflect-metadata'
import test from 'ava'
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { OpenRequests } from '../../src/entry/open-requests.js'
import { listen } from '../../src/http/listen.js'
import { Metrics } from '../../src/observe/metrics.js'

// Guards against a connection that a daemon closes without a whole answer and without a line in its log.
test('each request without a whole answer is logged once when its connection is about to be closed, and no other', async t => {
  const lines: Array<Readonly<Record<string, unknown>>> = []
  const metrics = new Metrics()
  const write = (level: string, part: string, message: string, fields?: object): void => { lines.push({ level, part, message, ...fields }) }
  const requests = new OpenRequests({ clock: { now: () => 0 }, metrics, log: { write }, readId: ({ url }) => url! })
  const responses = new Map<string, ServerResponse>()
  const server = createServer((req, res) => {
    requests.add(req, res)
    responses.set(req.url!, res)
    if (req.url === '/whole') res.end()
    if (req.url === '/begun') res.flushHeaders()
  })
  const port = await listen(server, '127.0.0.1', 0)
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  const send = async (path: string): Promise<Socket> => {
    const socket = connect(port, '127.0.0.1')
    socket.write(`GET ${path} HTTP/1.1\r\nhost: h\r\n\r\n`)
    while (!responses.has(path)) await new Promise(resolve => setTimeout(resolve, 1))
    return socket
  }
  const [, , left] = [await send('/waits'), await send('/begun'), await send('/left'), await send('/whole')]
  left!.destroy()
  await Promise.all(['/left', '/whole'].map(async path => responses.get(path)!.closed || await once(responses.get(path)!, 'close')))
  requests.recordCuts('malformed bytes', responses.get('/waits')!.socket)
  requests.recordCuts('shutdown')
  const line = { level: 'warn', part: 'entry', message: 'cut a request', waited: 0 }
  t.deepEqual(lines, [
    { ...line, request: '/waits', cause: 'malformed bytes', begun: false },
    { ...line, request: '/waits', cause: 'shutdown', begun: false },
    { ...line, request: '/begun', cause: 'shutdown', begun: true }
  ])
  t.regex(metrics.write(), /requests_cut_total\{cause="shutdown"\} 2/)
})
