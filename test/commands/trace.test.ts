import test from 'ava'
import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import 'reflect-metadata'
import { runProgram } from '../../src/commands/run-program.js'
import { writeLogs } from '../helpers/write-logs.js'

async function run (...words: readonly string[]): Promise<{ code: number, out: string, err: string }> {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()]
  const code = await runProgram(words, { stdout, stderr })
  return { code, out: String(stdout.read() ?? ''), err: String(stderr.read() ?? '') }
}

const LOGS = {
  'edge-1.log': [
    { at: 0, part: 'fleet', message: 'a server changed', server: 'i-1', state: 'gone' },
    { at: 250, level: 'warn', part: 'routing', message: 'abandoned a request', request: 'r', cause: 'no server', tried: ['i-1'] },
    'torn'
  ]
}

test('the trace of a request is shown as text', async t => {
  const { code, out } = await run('trace', 'r', '--logs', writeLogs(t, LOGS))
  t.is(code, 0)
  t.regex(out, /^request r; at edge-1; servers i-1\n/)
  t.regex(out, /\. +\+0\.0 ms {2}edge-1 {2}fleet: a server changed {2}server=i-1 state=gone\n> +\+250\.0 ms {2}edge-1 {2}routing: abandoned a request {2}request=r cause=no server .*\[based on i-1 gone for 250 ms\]/)
  t.regex(out, /edge-1\.log: 1 broken line, the first at 3/)
})

test('a trace is written as JSON and as a page', async t => {
  const folder = writeLogs(t, LOGS)
  const page = join(folder, 'page.html')
  const { code, out } = await run('trace', 'r', '--logs', folder, '--json', '--html', page)
  t.is(code, 0)
  const { type, events, unread } = JSON.parse(out)
  t.is(type, 'request')
  t.deepEqual(events.map(({ place }: { place: string }) => place), ['edge-1.log:1', 'edge-1.log:2'])
  t.like(events[1], { kind: 'own', level: 'warn', fields: { cause: 'no server', tried: ['i-1'] }, inputs: { servers: [{ server: 'i-1', state: 'gone', age: 250 }] } })
  t.is(unread.length, 1)
  t.regex(readFileSync(page, 'utf8'), /<title>request r<\/title>[^]*abandoned a request/)
})

test('an unknown id has its own exit code, and unreadable lines are listed', async t => {
  const folder = writeLogs(t, LOGS)
  const { code, err } = await run('trace', 'torn', '--logs', folder, '--html', join(folder, 'page.html'))
  t.is(code, 1)
  t.regex(err, /no line has torn as its request, job or server \(2 lines of 1 instances\)\nedge-1\.log: 1 broken line, the first at 3\n {2}edge-1\.log:3 has the id: torn/)
  t.false(existsSync(join(folder, 'page.html')))
  t.deepEqual(JSON.parse((await run('trace', 'x', '--logs', folder, '--json')).out).error.type, 'unknown id')
})

test('no folder, a folder without logs and a page that can\'t be written are usage errors with a message', async t => {
  const folder = writeLogs(t, LOGS)
  const none = await run('trace', 'r', '--logs', join(folder, 'none'))
  t.is(none.code, 2)
  t.regex(none.err, /^--logs: ENOENT/)
  const empty = await run('trace', 'r', '--logs', writeLogs(t, { 'a.txt': ['words'] }))
  t.is(empty.code, 2)
  t.regex(empty.err, /none of 1 files .* contains a log line\na\.txt is not a log/)
  const page = await run('trace', 'r', '--logs', folder, '--html', join(folder, 'none', 'page.html'))
  t.is(page.code, 2)
  t.regex(page.err, /the page can't be written/)
  t.regex(page.out, /abandoned a request/)
})

test('a missing --logs option is reported', async t => {
  const { code, err } = await run('trace', 'r')
  t.is(code, 2)
  t.regex(err, /trace needs --logs/)
})
