import 'reflect-metadata'
import test from 'ava'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { runProgram } from '../../src/commands/run-program.js'

const SETTINGS = { instance: 'a', failureDomain: 'd', region: 'r', listen: { host: '127.0.0.1', port: 0, peerPort: 0 }, platform: 'http://127.0.0.1:1', peerKey: 'k'.repeat(16), operatorToken: 't'.repeat(16) }

async function run (files: Record<string, string>, words: (folder: string) => readonly string[]): Promise<{ code: number, text: string }> {
  const folder = mkdtempSync(join(tmpdir(), 'citronwheel-check-'))
  for (const [name, text] of Object.entries(files)) writeFileSync(join(folder, name), text)
  const out = new PassThrough()
  const code = await runProgram(words(folder), { stdout: out, stderr: out })
  rmSync(folder, { recursive: true })
  return { code, text: String(out.read() ?? '').replaceAll(folder + '/', '') }
}

test('check: exits with 0 and shows which file sets each key, or with 1 and findings', async t => {
  t.deepEqual(await run({ 'a.yaml': 'limits: { deadline: 500, queueWait: 100 }', 'b.yaml': 'limits: { deadline: 600 }' }, folder => ['check', folder, '--keys']), {
    code: 0,
    text: 'b.yaml:1:11: limits.deadline (overrides a.yaml)\na.yaml:1:26: limits.queueWait\n'
  })
  t.deepEqual(await run({ 'a.yaml': 'limit: {}', 'b.yml': '' }, folder => ['check', folder]), { code: 1, text: 'b.yml:1:1: ignored: rename it to end in .yaml\n' })
  t.is((await run({}, folder => ['check', folder + '/none'])).code, 1)
})

test('serve: invalid settings exit with 2 and every finding', async t => {
  const { peerKey, ...rest } = { ...SETTINGS, operatorToken: 'short', listen: { ...SETTINGS.listen, port: 70_000 }, zone: 'd' }
  const { code, text } = await run({ 's.yaml': JSON.stringify(rest, null, 1) }, folder => ['serve', '--settings', join(folder, 's.yaml')])
  t.is(code, 2)
  t.deepEqual(text.trim().split('\n').map(line => line.replace(/^s\.yaml:\d+:\d+: /, '').split(';')[0]), [
    'unknown key "zone"',
    'listen.port: 70000 is out of bounds: 0 to 65535 (port)',
    'missing key peerKey',
    'operatorToken: must have at least 16 characters'
  ])
  t.regex((await run({}, folder => ['serve', '--settings', join(folder, 'none.yaml')])).text, /^none\.yaml:1:1: cannot be read: ENOENT/)
})
