import type { Socket } from 'node:net'
import type { buildConnector } from 'undici'
import type { ServerReport } from '../exchanges/server-report.js'
import { readProcessStart } from './read-process-start.js'
import type { ServerProcesses } from './server-processes.js'

interface CheckProcessOptions {
  readonly report: ServerReport
  readonly processes: Pick<ServerProcesses, 'listStarts' | 'recordStated' | 'recordUnlisted' | 'recordUnstated'>
}

type Outcome = { readonly type: 'listed', readonly isOpen: boolean } | { readonly type: 'failed', readonly error: Error }

/**
 * Returns a connector whose connections lead to the listed process: the first answer on each states when the process behind it started. An
 * entry of the list may be older than the process that listens at its address, and a connection doesn't outlive its process.
 *
 * Where a server closes connections behind its report, the report comes on a second connection that is opened after the first: an address
 * has one process at a time, so that the first leads to the same one, or to one that has exited and answers nothing.
 */
export function checkProcess (connect: buildConnector.connector, options: CheckProcessOptions): buildConnector.connector {
  return (target, callback) => {
    void openChecked(async () => await open(connect, target), target.host!, options).then(socket => callback(null, socket), (error: Error) => callback(error, null))
  }
}

async function openChecked (open: () => Promise<Socket>, address: string, options: CheckProcessOptions): Promise<Socket> {
  const socket = await open()
  if (options.processes.listStarts(address) === undefined) return socket
  const outcome = await check(socket, address, options)
  if (outcome.type === 'failed') throw outcome.error
  return outcome.isOpen ? socket : await openBefore(open, address, options)
}

/** Opens a connection, and returns it once a report on a later one shows that it leads to the listed process. */
async function openBefore (open: () => Promise<Socket>, address: string, options: CheckProcessOptions): Promise<Socket> {
  const socket = await open()
  let failure: Error | undefined
  const onError = (error: Error): void => { failure = error }
  socket.on('error', onError)
  try {
    const later = await open()
    const outcome = await check(later, address, options)
    later.destroy()
    if (outcome.type === 'failed') throw outcome.error
    if (socket.destroyed) throw failure ?? new Error('the connection was closed while its server was asked')
  } catch (error) {
    socket.destroy()
    throw error
  }
  socket.off('error', onError)
  return socket
}

async function open (connect: buildConnector.connector, target: buildConnector.Options): Promise<Socket> {
  return await new Promise((resolve, reject) => {
    connect(target, (...[error, socket]: Parameters<buildConnector.Callback>) => error === null ? resolve(socket!) : reject(error))
  })
}

async function check (socket: Socket, address: string, { report, processes }: CheckProcessOptions): Promise<Outcome> {
  const before = processes.listStarts(address)
  const reported = await readProcessStart(socket, address, report)
  if (reported.err) return { type: 'failed', error: reported.val }
  const { startedAt, isOpen } = reported.val
  if (startedAt === undefined) processes.recordUnstated(address)
  else processes.recordStated(address)
  const listed = processes.listStarts(address)
  // A list that has changed meanwhile may show the successor of the process that answered.
  if (startedAt !== undefined && String(listed) === String(before) && listed?.some(start => start !== startedAt) === true) processes.recordUnlisted(address, startedAt)
  if (listed === undefined || isListed(listed, startedAt)) return { type: 'listed', isOpen }
  socket.destroy()
  if (startedAt === undefined) return { type: 'failed', error: new Error('the process at the address did not state its start') }
  return { type: 'failed', error: new Error('the process at the address is not the listed one') }
}

/** A process that states no start is taken for none that has one. */
function isListed (starts: ReadonlyArray<number | undefined>, startedAt: number | undefined): boolean {
  return startedAt === undefined ? starts.every(start => start === undefined) : starts.includes(startedAt)
}
