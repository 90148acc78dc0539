import type { IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from 'ts-results'

/**
 * Reads a whole request body of at most `limit` bytes. Resolves to an error as soon as the body exceeds that, which bounds
 * the memory it takes. The rest is read and discarded, because a caller whose connection is closed while it sends doesn't
 * read the answer.
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
