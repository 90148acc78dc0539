// The project's stand-in of the store behind a front that keeps the platform's limit of a page: "about 500 or 1 MB at most" (PROTOCOL.md).
import { createServer, request } from 'node:http'

const PAGE_BYTES = 1_048_576
const LIST = /^\/api\/objects\/[^/?]+(?:\?(?!.*watch=).*)?$/

/** Opens a port that passes all calls on to the stand-in at `port`, and shortens pages of lists over 1 MB. */
export async function openPagedStore (port) {
  const server = createServer((req, res) => {
    const isList = req.method === 'GET' && LIST.test(req.url)
    const onward = request({ host: '127.0.0.1', port, path: req.url, method: req.method, headers: req.headers }, answer => {
      if (!isList || answer.statusCode !== 200) {
        res.writeHead(answer.statusCode, answer.headers)
        return answer.pipe(res)
      }
      const parts = []
      answer.on('data', part => parts.push(part))
      answer.on('end', () => {
        const body = shorten(JSON.parse(Buffer.concat(parts).toString()))
        res.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
        res.end(body)
      })
    })
    onward.on('error', () => res.destroy())
    res.on('close', () => onward.destroy())
    req.pipe(onward)
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  return { port: server.address().port, close: () => { server.close(); server.closeAllConnections() } }
}

function shorten ({ items, more_pages: hasMore, current_rev: revision }) {
  let [count, bytes] = [0, 0]
  while (count < items.length) {
    bytes += Buffer.byteLength(JSON.stringify(items[count])) + 1
    if (count > 0 && bytes > PAGE_BYTES) break
    count++
  }
  return JSON.stringify({ items: items.slice(0, count), more_pages: hasMore || count < items.length, current_rev: revision })
}
