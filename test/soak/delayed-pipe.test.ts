import test from 'ava'
import type { Socket } from 'node:net'
import { DelayedPipe } from '../../harness/delayed-pipe.js'

// Guards against a relay that reorders bytes: when its delay drops while chunks are still held, later chunks and the end of the
// stream must not overtake them.
test('chunks and the end of a stream never overtake chunks that are still delayed', async t => {
  const passed: string[] = []
  const way = new DelayedPipe({ write: (bytes: Buffer) => passed.push(bytes.toString()), destroySoon: () => passed.push('end') } as unknown as Socket)
  const delays = [0, 30, 30, 12, 0, 7, 0]
  for (const [i, delay] of delays.entries()) way.write(Buffer.from(String(i)), delay)
  way.close()
  while (passed.at(-1) !== 'end') await new Promise(resolve => setTimeout(resolve, 5))
  t.deepEqual(passed, [...delays.map((_, i) => String(i)), 'end'])
})
