import type { Socket } from 'node:net'
import { Ok, type Result } from 'ts-results'
import { askOnConnection } from '../../http/ask-on-connection.js'
import type { ServerReport } from '../exchanges/server-report.js'

/** Longest wait for a server's report, ms. */
const REPORT_TIMEOUT = 1_000
const MAX_REPORT = 256_000 // bytes
const OK = 200

interface ProcessStart {
  /** Unix ms by the server's clock; undefined where its report doesn't state it. */
  readonly startedAt: number | undefined
  /** Whether the connection can carry another request. */
  readonly isOpen: boolean
}

/** Reads the start of the process at the other end of a new connection to `address`, HOST:PORT; without a whole report, the connection is destroyed. */
export async function readProcessStart (socket: Socket, address: string, { path, readStart }: ServerReport): Promise<Result<ProcessStart, Error>> {
  const answer = await askOnConnection(socket, { path, host: address, timeout: REPORT_TIMEOUT, maxBody: MAX_REPORT })
  if (answer.err) return answer
  const { status, body, isOpen } = answer.val
  return Ok({ startedAt: status === OK ? readStart(body) : undefined, isOpen })
}
