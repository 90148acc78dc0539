// The platform's limit of memory, and ordinary callers on kept channels, whose requests are lost with a process that passes it.
import { readFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { HOST, sleep } from './fleet.mjs'

const SAMPLE_PERIOD = 50
const RESTART_DELAY = 500

function readResident (pid) {
  try {
    return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) * 1_024
  } catch {
    return 0
  }
}

/** Kills a daemon whose process has more resident memory than `limit`, as the platform does, and starts it again. Returns a function that ends this. */
export function limitMemory (fleet, limit, onKill) {
  const state = { isOver: false }
  const most = fleet.daemons.map(() => 0)
  const watch = async (daemon, n) => {
    while (!state.isOver) {
      const resident = readResident(daemon.child.pid)
      most[n] = Math.max(most[n], resident)
      if (resident > limit) {
        onKill({ daemon: daemon.name, resident })
        daemon.child.signal('SIGKILL')
        await daemon.child.waitForExit()
        await sleep(RESTART_DELAY)
        if (!state.isOver) await fleet.startDaemon(daemon)
      }
      await sleep(SAMPLE_PERIOD)
    }
  }
  const watches = Promise.all(fleet.daemons.map(watch))
  return async () => {
    state.isOver = true
    await watches
    return most
  }
}

/** Ordinary callers of one daemon, each with a channel that it keeps. Resolves with their requests once `isOver` holds. */
export async function runCallers (port, { count, name, isOver }) {
  const requests = []
  await Promise.all(Array.from({ length: count }, async (_, n) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    await sleep(Math.random() * 1_000)
    for (let k = 0; !isOver(); k++) {
      requests.push(await send(port, agent, `${name}-${n}-${k}`))
      await sleep(200 + Math.random() * 200)
    }
    agent.destroy()
  }))
  return requests
}

async function send (port, agent, id) {
  return await new Promise(resolve => {
    let status = 0
    const sent = request({ host: '127.0.0.1', port, localAddress: '127.0.0.99', agent, method: 'POST', path: '/checks/ordinary', headers: { host: HOST, 'x-request-id': id, 'x-deadline-ms': '5000', 'x-model': 'm', 'x-token-count': '250,31', 'x-prompt-prefix': `a1:200,${id}:50`, 'content-length': 2 } }, answer => {
      status = answer.statusCode
      answer.resume()
      answer.on('close', () => end(answer.complete ? 'whole' : 'broken off'))
    })
    const end = outcome => resolve({ id, isKept: sent.reusedSocket, status, outcome, at: Math.round(performance.now()) })
    // The caller leaves after its time budget, which is no loss.
    sent.setTimeout(5_000, () => { end('left'); sent.destroy() })
    sent.on('error', () => end(status === 0 ? 'closed without an answer' : 'broken off'))
    sent.end('{}')
  })
}

/** The requests from kept channels that a sound server began and whose channel was closed without any answer. */
export function listLost (requests, engines) {
  const begun = new Set(engines.flatMap(({ runs = [] }) => runs.map(({ id }) => id)))
  return requests.filter(({ id, isKept, outcome }) => isKept && outcome === 'closed without an answer' && begun.has(id))
}
