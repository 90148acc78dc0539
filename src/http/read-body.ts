import type { IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from 'ts-results'
import { dropBody } from './drop-body.js'

/**
 * Reads a whole request body of at most `limit` bytes. Resolves to an error as soon as the body exceeds that, which bounds
 * the memory it takes. The rest is read and dropped.
 */
export async function readBody (req: IncomingMessage, limit: number): Promise<Result<Buffer, 'too large' | 'cut'>> {
  if (Number(req.headers['content-length'] ?? 0) > limit) {
    dropBody(req)
    return Err('too large')
  }
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    const keep = (chunk: Buffer): void => {
      size += chunk.length
      chunks.push(chunk)
      if (size <= limit) return
      chunks.length = 0
      dropBody(req)
      req.off('data', keep)
      resolve(Err('too large'))
    }
    req.on('data', keep)
    req.on('end', () => resolve(Ok(Buffer.concat(chunks))))
    req.on('error', () => resolve(Err('cut')))
    req.on('close', () => resolve(Err('cut')))
  })
}
