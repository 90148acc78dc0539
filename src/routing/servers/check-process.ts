import type { Socket } from 'node:net'
import type { buildConnector } from 'undici'
import { askOnConnection } from '../../http/ask-on-connection.js'
import type { ServerReport } from '../exchanges/server-report.js'

/** Longest wait for a server's report, ms. */
const REPORT_TIMEOUT = 1_000
const MAX_REPORT = 1_000_000 // bytes
const OK = 200
/** Connections tried where a server closes them before its report. */
const ATTEMPTS = 3

interface CheckProcessOptions {
  readonly report: ServerReport
  /** Returns the starts of the processes that are listed at an address, HOST:PORT; undefined if not all are known. */
  readonly listStarts: (address: string) => readonly number[] | undefined
  /** Called when another process than the listed ones has answered. */
  readonly onOther: (address: string, startedAt: number) => void
}

type Target = buildConnector.Options
type Outcome = { readonly type: 'listed', readonly isOpen: boolean } | { readonly type: 'failed', readonly error: Error, readonly isFinal: boolean }

/**
 * Returns a connector whose connections lead to the listed process: the first answer on each states when the process behind it started. An
 * entry of the list may be older than the process that listens at its address, and a connection doesn't outlive its process.
 *
 * Where a server closes connections behind its report, the report comes on a second connection that is opened after the first: an address
 * has one process at a time, so that the first leads to the same one, or to one that has exited and answers nothing.
 */
export function checkProcess (connect: buildConnector.connector, options: CheckProcessOptions): buildConnector.connector {
  return (target, callback) => {
    void open(target).then(socket => callback(null, socket), (error: Error) => callback(error, null))
  }

  async function open (target: Target): Promise<Socket> {
    for (let attempt = 1; ; attempt++) {
      const socket = await openUnchecked(target)
      if (options.listStarts(target.host!) === undefined) return socket
      const outcome = await check(socket, target.host!, options)
      if (outcome.type === 'listed') return outcome.isOpen ? socket : await openBefore(target)
      if (outcome.isFinal || attempt === ATTEMPTS) throw outcome.error
    }
  }

  /** Opens a connection, and returns it once a report on a later one shows that it leads to the listed process. */
  async function openBefore (target: Target): Promise<Socket> {
    const socket = await openUnchecked(target)
    const ignore = (): void => {}
    socket.on('error', ignore)
    try {
      const later = await openUnchecked(target)
      const outcome = await check(later, target.host!, options)
      later.destroy()
      if (outcome.type === 'failed') throw outcome.error
      if (socket.destroyed) throw new Error('the connection was closed while its server was asked')
    } catch (error) {
      socket.destroy()
      throw error
    }
    socket.off('error', ignore)
    return socket
  }

  async function openUnchecked (target: Target): Promise<Socket> {
    return await new Promise((resolve, reject) => {
      connect(target, (...[error, socket]: Parameters<buildConnector.Callback>) => error === null ? resolve(socket!) : reject(error))
    })
  }
}

async function check (socket: Socket, address: string, { report, listStarts, onOther }: CheckProcessOptions): Promise<Outcome> {
  const began = performance.now()
  const answer = await askOnConnection(socket, { path: report.path, host: address, timeout: REPORT_TIMEOUT, maxBody: MAX_REPORT })
  if (answer.err) return { type: 'failed', error: answer.val, isFinal: performance.now() - began >= REPORT_TIMEOUT }
  const { status, body, isOpen } = answer.val
  const startedAt = status === OK ? report.readStart(body) : undefined
  if (startedAt === undefined || listStarts(address)?.includes(startedAt) !== false) return { type: 'listed', isOpen }
  socket.destroy()
  onOther(address, startedAt)
  return { type: 'failed', error: new Error('the process at the address is not the listed one'), isFinal: true }
}
