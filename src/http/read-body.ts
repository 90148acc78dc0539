import type { IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from 'ts-results'

/**
 * Reads a whole request body of at most `limit` bytes. A longer one is an error as soon as that is known, so that a
 * caller can't make the daemon hold more; the rest of it is read and dropped, because a caller that is cut while it
 * sends never sees the answer that tells why.
 */
export async function readBody (req: IncomingMessage, limit: number): Promise<Result<Buffer, 'too large' | 'cut'>> {
  if (Number(req.headers['content-length'] ?? 0) > limit) {
    req.resume()
    return Err('too large')
  }
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    req.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= limit) chunks.push(chunk)
      else {
        chunks.length = 0
        resolve(Err('too large'))
      }
    })
    req.on('end', () => resolve(Ok(Buffer.concat(chunks))))
    req.on('error', () => resolve(Err('cut')))
    req.on('close', () => resolve(Err('cut')))
  })
}
