import test from 'ava'
import type { Socket } from 'node:net'
import { DelayedPipe } from '../../harness/delayed-pipe.js'

// A relay delays a stream, and the delay ends while events are held. A caller behind it would see events out of order and the end
// before the last of them, as if the daemon had sent them so.
test('what comes after a delay has ended waits for what is held, and the end for all of it', async t => {
  const passed: string[] = []
  const way = new DelayedPipe({ write: (bytes: Buffer) => passed.push(bytes.toString()), destroySoon: () => passed.push('end') } as unknown as Socket)
  const delays = [0, 30, 30, 12, 0, 7, 0]
  for (const [i, delay] of delays.entries()) way.write(Buffer.from(String(i)), delay)
  way.close()
  while (passed.at(-1) !== 'end') await new Promise(resolve => setTimeout(resolve, 5))
  t.deepEqual(passed, [...delays.map((_, i) => String(i)), 'end'])
})
