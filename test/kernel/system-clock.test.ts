import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { connect, createServer, type Socket } from 'node:net'
import { listen } from '../../src/http/listen.js'
import { SystemClock } from '../../src/kernel/system-clock.js'
import { blockThread } from '../helpers/block-thread.js'

const TIMEOUT = 20 // ms

async function open (t: ExecutionContext): Promise<readonly [Socket, Socket]> {
  const server = createServer()
  const near = connect(await listen(server, '127.0.0.1', 0), '127.0.0.1')
  const [far] = await once(server, 'connection') as [Socket]
  t.teardown(() => {
    near.destroy()
    far.destroy()
    server.close()
  })
  return [near, far]
}

// Guards against timeouts of peers whose bytes arrived while the process stood still.
test.serial('a process stands still beyond a timer: what has arrived is read first, and can cancel the timer', async t => {
  const [near, far] = await open(t)
  const clock = new SystemClock()
  const events: string[] = []
  const cancelTimeout = clock.after(TIMEOUT, () => events.push('timeout'))
  clock.after(TIMEOUT, () => events.push('other timer'))
  near.once('data', () => {
    events.push('bytes')
    cancelTimeout()
  })
  far.write('x')
  blockThread(2 * TIMEOUT)
  await new Promise(resolve => clock.after(2 * TIMEOUT, () => resolve(undefined)))
  t.deepEqual(events, ['bytes', 'other timer'])
})

// Guards against tasks that run although their timers were cancelled.
test.serial('a cancelled timer does not run', async t => {
  const clock = new SystemClock()
  let runs = 0
  clock.after(0, () => runs++)()
  await new Promise(resolve => clock.after(TIMEOUT, () => resolve(undefined)))
  t.is(runs, 0)
})
