import { request } from 'node:http'

export interface StreamReading { readonly status: number, readonly last: number, readonly whole: boolean, readonly time: number }
interface StreamCall { readonly id: string, readonly path: string, readonly resumes?: string, readonly after?: number, /** Events after which the caller closes its connection. */ readonly leaveAfter?: number }

/** Sends a request for a resumable stream and reads it to its end, or leaves after some events. */
export async function readStream (port: number, { id, path, resumes, after, leaveAfter = Infinity }: StreamCall): Promise<StreamReading> {
  const began = performance.now()
  const resumption = after === undefined ? {} : { 'last-event-id': String(after), ...resumes !== undefined && { resumes } }
  return await new Promise(resolve => {
    const settle = (status: number, last: number, whole: boolean): void => resolve({ status, last, whole, time: performance.now() - began })
    const sent = request({ port, path, method: 'POST', agent: false, headers: { host: 'desk.example', 'x-request-id': id, 'x-deadline-ms': '5000', ...resumption } }, answer => {
      let last = after ?? 0
      answer.on('data', (bytes: Buffer) => {
        // Events beyond those after which the caller leaves may come in the same chunk; it takes no notice of them.
        last = Math.min(last + bytes.toString().split('\n\n').length - 1, (after ?? 0) + leaveAfter)
        if (last - (after ?? 0) < leaveAfter) return
        sent.destroy()
        settle(answer.statusCode!, last, false)
      })
      answer.on('end', () => settle(answer.statusCode!, last, answer.statusCode === 200 && answer.complete))
      answer.on('error', () => settle(answer.statusCode!, last, false))
    })
    sent.on('error', () => settle(0, after ?? 0, false))
    sent.end('x')
  })
}
