import test from 'ava'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Child } from '../../harness/child.js'

const BINARY = { program: ['dist/citronwheel'] }

test('the single binary runs a stand-in platform and a daemon, which exit with 0 on SIGTERM', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'citronwheel-'))
  t.teardown(() => rmSync(folder, { recursive: true, force: true }))
  const platform = await Child.start<{ listening: number }>(['stand-in', 'platform'], BINARY)
  const settings = join(folder, 'entry-0.yaml')
  writeFileSync(settings, JSON.stringify({
    instance: 'entry-0',
    failureDomain: 'domain-a',
    region: 'region-1',
    listen: { host: '127.0.0.1', port: 0, peerPort: 0 },
    platform: `http://127.0.0.1:${platform.ready.listening}`,
    peerKey: 'key-of-the-trial',
    operatorToken: 'operator-of-the-trial',
    log: { level: 'info', format: 'json' }
  }))
  const daemon = await Child.start<{ listening: number }>(['serve', '--settings', settings], BINARY)
  const answer = await fetch(`http://127.0.0.1:${daemon.ready.listening}/healthz`)
  t.is(answer.status, 200)
  daemon.child.signal('SIGTERM')
  t.is(await daemon.child.waitForExit(), 0)
  platform.child.signal('SIGTERM')
  t.is(await platform.child.waitForExit(), 0)
})

// Guards against warnings of the runtime, which scripts could take for a failure.
test('the single binary writes nothing to standard error when it succeeds', t => {
  const { status, stderr } = spawnSync(BINARY.program[0]!, ['--version'], { encoding: 'utf8' })
  t.is(status, 0)
  t.is(stderr, '')
})
