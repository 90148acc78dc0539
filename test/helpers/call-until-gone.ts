import { Agent } from 'node:http'
import { callOnce } from './call-once.js'

/** `at`: when it was sent, ms after the moment that the times of all calls count from. */
export type SeenCall = Awaited<ReturnType<typeof callOnce>> & { readonly at: number }

interface CallOptions {
  readonly port: number
  readonly paths: readonly string[]
  /** Time between two calls, ms. */
  readonly period: number
  /** The moment that the times of all calls count from, by `performance.now`; it may be set later. */
  readonly findStart: () => number
  readonly isGone: () => boolean
}

/** Calls a daemon until its process is gone, by turns on kept and on new connections; resolves with all calls once each has ended. */
export async function callUntilGone ({ port, paths, period, findStart, isGone }: CallOptions): Promise<readonly SeenCall[]> {
  const kept = new Agent({ keepAlive: true })
  const calls: ReturnType<typeof callOnce>[] = []
  for (let n = 0; !isGone(); n++) {
    const path = `${paths[n % paths.length]!}${n}`
    calls.push(callOnce(port, path, Math.floor(n / paths.length) % 2 === 0 ? kept : undefined))
    await new Promise(resolve => setTimeout(resolve, period))
  }
  const seen = await Promise.all(calls)
  kept.destroy()
  return seen.map(call => ({ ...call, at: call.sentAt - findStart() }))
}
