import { connect } from 'node:net'
import type { Result } from 'ts-results'
import type { ServerReport } from '../exchanges/server-report.js'
import type { BackendServer } from './backend-server.js'
import { isServerGone } from './is-server-gone.js'
import { readProcessStart } from './read-process-start.js'

/**
 * Whether the listed process of a server has exited: nothing listens at its address, or another process does. A process that doesn't answer
 * counts as alive, and so does one whose start isn't stated.
 */
export async function hasProcessExited (server: Pick<BackendServer, 'url' | 'startedAt'>, report: ServerReport | undefined): Promise<boolean> {
  const { url, startedAt } = server
  if (report === undefined || startedAt === undefined) return await isServerGone(url)
  const start = await readStart(url, report)
  if (start.ok) return isOther(start.val, startedAt)
  if (await isServerGone(url)) return true
  // An exiting process may have closed the connection, and the next one may listen by now.
  const again = await readStart(url, report)
  return again.ok && isOther(again.val, startedAt)
}

function isOther (start: number | undefined, listed: number): boolean {
  return start !== undefined && start !== listed
}

async function readStart (url: string, report: ServerReport): Promise<Result<number | undefined, Error>> {
  const { hostname, port, host } = new URL(url)
  const socket = connect({ host: hostname, port: Number(port) })
  const reported = await readProcessStart(socket, host, report)
  socket.destroy()
  return reported.map(({ startedAt }) => startedAt)
}
