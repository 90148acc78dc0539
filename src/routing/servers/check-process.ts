import type { Socket } from 'node:net'
import type { buildConnector } from 'undici'
import { askOnConnection } from '../../http/ask-on-connection.js'
import { EndlessAnswer } from '../../http/endless-answer.js'
import type { ServerReport } from '../exchanges/server-report.js'

/** Longest wait for a server's report, ms. */
const REPORT_TIMEOUT = 1_000
const MAX_REPORT = 1_000_000 // bytes
const OK = 200
/** Connections tried where a server closes them behind its report. */
const ATTEMPTS = 3

interface CheckProcessOptions {
  readonly report: ServerReport
  /** Returns the starts of the processes that are listed at an address, HOST:PORT; undefined if not all are known. */
  readonly listStarts: (address: string) => readonly number[] | undefined
  /** Called when another process than the listed ones has answered. */
  readonly onOther: (address: string, startedAt: number) => void
}

/**
 * Returns a connector whose connections lead to the listed process: the first answer on each states when the process behind it started. An
 * entry of the list may be older than the process that listens at its address, and a connection doesn't outlive its process.
 */
export function checkProcess (connect: buildConnector.connector, options: CheckProcessOptions): buildConnector.connector {
  return (target, callback) => {
    const address = target.host!
    const tryConnect = (attempts: number): void => connect(target, (...[error, socket]: Parameters<buildConnector.Callback>) => {
      if (error !== null || options.listStarts(address) === undefined) return callback(...[error, socket] as Parameters<buildConnector.Callback>)
      void check(socket!, address, options).then(failure => {
        if (failure === undefined) callback(null, socket!)
        else if (failure.isFinal || attempts === 1) callback(failure.error, null)
        else tryConnect(attempts - 1)
      })
    })
    tryConnect(ATTEMPTS)
  }
}

async function check (socket: Socket, address: string, { report, listStarts, onOther }: CheckProcessOptions): Promise<{ readonly error: Error, readonly isFinal: boolean } | undefined> {
  const began = performance.now()
  const answer = await askOnConnection(socket, { path: report.path, host: address, timeout: REPORT_TIMEOUT, maxBody: MAX_REPORT })
  if (answer.err) return { error: answer.val, isFinal: answer.val instanceof EndlessAnswer || performance.now() - began >= REPORT_TIMEOUT }
  const startedAt = answer.val.status === OK ? report.readStart(answer.val.body) : undefined
  if (startedAt === undefined || listStarts(address)?.includes(startedAt) !== false) return undefined
  socket.destroy()
  onOther(address, startedAt)
  return { error: new Error('the process at the address is not the listed one'), isFinal: true }
}
